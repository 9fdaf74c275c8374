"""Limits how many upstreams of a service change at once, using a log stream.

A sidecar that wants to change its upstream appends a request to the stream. The
request's offset is its position in the queue and the fencing token of its
order. The first `max_changing` open requests hold a permit. All readers of the
stream reach the same result, independent of their clocks. A request is closed
by a release of its VM, by a newer request of its VM, or by a revocation, which
any sidecar may append after the VM has left the platform's list.
"""

import enum
import logging
from typing import Protocol

import orjson
import trio

from siskinmount import backing_services
from siskinmount import results

_LOGGER = logging.getLogger(__name__)

STREAM_PREFIX = 'changes-'
TAIL_WAIT_MS = 2000
RETRY_DELAY_S = 1.0
REVOKE_CHECK_INTERVAL_S = 10.0


class ChangePermit:
    """Allows one upstream to be changed.

    Attributes:
        fence: Fencing token for the order: an offset in the log stream.
    """

    __slots__ = ('fence',)

    def __init__(self, fence: int) -> None:
        self.fence = fence


class ChangePermits(Protocol):
    """Grants permits to change upstreams of one service."""

    async def acquire(self, max_changing: int) -> ChangePermit:
        """Returns a permit once at most `max_changing` VMs hold one."""
        ...

    async def is_current(self, permit: ChangePermit) -> bool:
        """Returns whether the permit is neither released nor replaced.

        Returns False also if the log cannot be read.
        """
        ...

    async def release_all(self) -> results.Failure | None:
        """Releases the VM's permits, those of earlier processes included."""
        ...


class _RecordKind(enum.Enum):
    """Kind of a record in the stream."""

    REQUEST = 'request'
    RELEASE = 'release'
    REVOKE = 'revoke'


class _OpenRequest:
    """A request that has not been closed."""

    __slots__ = ('vm', 'incarnation', 'sequence', 'offset')

    def __init__(
        self, vm: str, incarnation: int, sequence: int, offset: int
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.sequence = sequence
        self.offset = offset


class LogChangePermits:
    """Implements `ChangePermits` on a stream of the log service."""

    __slots__ = (
        '_log',
        '_vm_list',
        '_stream',
        '_vm',
        '_incarnation',
        '_sequence',
        '_next_offset',
        '_open_by_vm',
        '_vm_list_read_at_s',
    )

    def __init__(
        self,
        *,
        log: backing_services.LogService,
        vm_list: backing_services.VmList,
        service: str,
        vm: str,
        incarnation: int,
    ) -> None:
        self._log = log
        self._vm_list = vm_list
        self._stream = STREAM_PREFIX + service
        self._vm = vm
        self._incarnation = incarnation
        self._sequence = 0
        self._next_offset = 1
        self._open_by_vm: dict[str, _OpenRequest] = {}
        self._vm_list_read_at_s = trio.current_time()

    async def acquire(self, max_changing: int) -> ChangePermit:
        """Returns a permit once at most `max_changing` VMs hold one."""
        self._sequence += 1
        while True:
            if await self._read_to_tail() is not None:
                await trio.sleep(RETRY_DELAY_S)
                continue
            own = self._find_own_request()
            if own is None:
                await self._append(_RecordKind.REQUEST, self._sequence)
                continue
            earlier = self._list_earlier(own)
            if len(earlier) < max_changing:
                return ChangePermit(own.offset)
            await self._revoke_departed(earlier)
            await self._read_page(TAIL_WAIT_MS)

    async def is_current(self, permit: ChangePermit) -> bool:
        """Returns whether the permit is neither released nor replaced."""
        if await self._read_to_tail() is not None:
            return False
        own = self._open_by_vm.get(self._vm)
        return own is not None and own.offset == permit.fence

    async def release_all(self) -> results.Failure | None:
        """Releases the VM's permits, those of earlier processes included."""
        failure = await self._read_to_tail()
        if failure is not None:
            return failure
        own = self._open_by_vm.get(self._vm)
        if own is None:
            return None
        return await self._append(_RecordKind.RELEASE, own.sequence)

    def _find_own_request(self) -> _OpenRequest | None:
        """Returns this process's open request from the log, if any."""
        own = self._open_by_vm.get(self._vm)
        if own is None or own.incarnation != self._incarnation:
            return None
        return own if own.sequence == self._sequence else None

    def _list_earlier(self, own: _OpenRequest) -> list[_OpenRequest]:
        """Returns the open requests with a lower offset."""
        return [
            request
            for request in self._open_by_vm.values()
            if request.offset < own.offset
        ]

    async def _revoke_departed(self, requests: list[_OpenRequest]) -> None:
        """Closes requests of VMs that left the platform's list."""
        now_s = trio.current_time()
        if now_s - self._vm_list_read_at_s < REVOKE_CHECK_INTERVAL_S:
            return
        self._vm_list_read_at_s = now_s
        entries = await self._vm_list.fetch()
        if isinstance(entries, results.Failure):
            return
        present = {entry.vm for entry in entries}
        if self._vm not in present:
            # A list that lacks this VM is no evidence that others are gone.
            return
        for request in requests:
            if request.vm in present:
                continue
            _LOGGER.warning('change_permit_revoked', extra={'of': request.vm})
            await self._append_for(_RecordKind.REVOKE, request)

    async def _append(
        self, kind: _RecordKind, sequence: int
    ) -> results.Failure | None:
        return await self._append_for(
            kind, _OpenRequest(self._vm, self._incarnation, sequence, 0)
        )

    async def _append_for(
        self, kind: _RecordKind, request: _OpenRequest
    ) -> results.Failure | None:
        """Appends a record, which takes effect only when it is read back."""
        data = orjson.dumps(
            {
                'kind': kind.value,
                'vm': request.vm,
                'incarnation': request.incarnation,
                'sequence': request.sequence,
                'offset': request.offset,
            }
        )
        appended = await self._log.append(self._stream, data)
        if isinstance(appended, results.Failure):
            await trio.sleep(RETRY_DELAY_S)
            return appended
        return None

    async def _read_to_tail(self) -> results.Failure | None:
        """Reads the stream up to its present tail."""
        while True:
            at_tail = await self._read_page(0)
            if isinstance(at_tail, results.Failure):
                return at_tail
            if at_tail:
                return None

    async def _read_page(self, wait_ms: int) -> bool | results.Failure:
        """Reads one page; tells whether it reached the tail."""
        page = await self._log.read(
            self._stream, self._next_offset, wait_ms=wait_ms
        )
        if isinstance(page, results.Failure):
            return page
        if isinstance(page, backing_services.LogExpired):
            self._next_offset = page.first_offset
            return False
        for record in page.records:
            self._next_offset = record.offset + 1
            self._apply(record)
        return self._next_offset >= page.next_offset

    def _apply(self, record: backing_services.LogRecord) -> None:
        """Applies one record to the open requests."""
        try:
            document = orjson.loads(record.data)
            kind = _RecordKind(document['kind'])
            vm = str(document['vm'])
            incarnation = int(document['incarnation'])
            sequence = int(document['sequence'])
            revoked_offset = int(document['offset'])
        except (ValueError, KeyError, TypeError):
            _LOGGER.error(
                'change_record_invalid',
                extra={
                    'code': int(results.ResultCode.LOG_RECORD_INVALID),
                    'offset': record.offset,
                },
            )
            return
        known = self._open_by_vm.get(vm)
        if known is not None and incarnation < known.incarnation:
            return
        if kind is _RecordKind.REQUEST:
            repeated = (
                known is not None
                and known.incarnation == incarnation
                and known.sequence >= sequence
            )
            if not repeated:
                self._open_by_vm[vm] = _OpenRequest(
                    vm, incarnation, sequence, record.offset
                )
            return
        if known is None:
            return
        if kind is _RecordKind.REVOKE and known.offset != revoked_offset:
            return
        del self._open_by_vm[vm]


def create_log_change_permits(
    *,
    log: backing_services.LogService,
    vm_list: backing_services.VmList,
    service: str,
    vm: str,
    incarnation: int,
) -> LogChangePermits:
    """Creates the permits of one sidecar.

    Args:
        log: The log service.
        vm_list: The platform's list of VMs.
        service: Service of the sidecar's upstream.
        vm: The sidecar's VM.
        incarnation: The sidecar's incarnation.
    """
    return LogChangePermits(
        log=log,
        vm_list=vm_list,
        service=service,
        vm=vm,
        incarnation=incarnation,
    )
