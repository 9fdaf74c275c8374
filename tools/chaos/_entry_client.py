"""Client of the entries, as callers behind a load balancer."""

import orjson

from siskinmount import results
from siskinmount import transport
from tools import fleet
from tools import load

SILENCE_TIMEOUT_MS = 12_000
MAX_BODY_BYTES = 64 * 1024 * 1024


class EntryClient:
    """Sends requests to entries, which are chosen round-robin.

    Attributes:
        entry_vms: VM names of the entries.
    """

    __slots__ = ('entry_vms', '_caller', '_clients', '_next')

    def __init__(
        self, entries: list[fleet.EntryPlan], caller: fleet.Caller
    ) -> None:
        self.entry_vms = [entry.vm for entry in entries]
        self._caller = caller
        limits = transport.ClientLimits(silence_timeout_ms=SILENCE_TIMEOUT_MS)
        self._clients = {
            entry.vm: transport.create_http_client(
                entry.callers_address, limits
            )
            for entry in entries
        }
        self._next = 0

    def choose_entry(self) -> str:
        """Returns the VM of the next entry, round-robin."""
        self._next += 1
        return self.entry_vms[self._next % len(self.entry_vms)]

    async def send(
        self,
        entry_vm: str,
        method: str,
        target: str,
        body: bytes = b'',
        headers: transport.Headers | None = None,
    ) -> transport.ClientExchange | results.Failure:
        """Sends one request to the entry on the given VM."""
        all_headers = [
            (b'authorization', f'Bearer {self._caller.key}'.encode('ascii')),
            (b'content-type', b'application/json'),
            *(headers or []),
        ]
        return await self._clients[entry_vm].send(
            transport.ClientRequest(method, target, all_headers, body)
        )

    def close(self) -> None:
        """Closes idle connections."""
        for client in self._clients.values():
            client.close()


def read_failure(body: bytes) -> results.Failure | None:
    """Parses an error answer of the system.

    Returns:
        The failure; None if the body is not such an answer, as when the
        upstream answered.
    """
    try:
        error = orjson.loads(body)['error']
        return results.Failure(
            results.ResultCode(error['code']),
            str(error['reason']),
            results.RunState(error['run_state']),
            error.get('retry_after_ms'),
        )
    except (ValueError, KeyError, TypeError):
        return None


def create_answer_reader() -> load.AnswerReader:
    """Returns a reader of one streamed answer."""
    wire = load.create_wire(load.WireKind.CALLER, service='', key='')
    return wire.create_reader()
