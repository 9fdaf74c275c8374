"""The plain service's HTTP interface."""

import collections

import trio

from siskinmount import results
from standins import faults as faults_module

MAX_EFFECTS = 200_000


class Effect:
    """Recorded effect of one call.

    Attributes:
        sequence: Number of the effect, from 1.
        request_id: Header `x-request-id` of the call; empty if missing.
        key: Field `key` of the call's JSON body; empty if missing.
        method: HTTP method of the call.
        path: Path of the call.
    """

    __slots__ = ('sequence', 'request_id', 'key', 'method', 'path')

    def __init__(
        self, sequence: int, request_id: str, key: str, method: str, path: str
    ) -> None:
        self.sequence = sequence
        self.request_id = request_id
        self.key = key
        self.method = method
        self.path = path

    def describe(self) -> dict[str, object]:
        """Returns the effect as a JSON object."""
        return {
            'sequence': self.sequence,
            'request_id': self.request_id,
            'key': self.key,
            'method': self.method,
            'path': self.path,
        }


class PlainService:
    """Answers calls and records the effect of each call other than GET.

    The last segment of the path selects the answer: `echo` returns the body,
    `ping` an empty body, and any other a description of the effect, as a
    booking service returns the number of a booking.

    Attributes:
        effects: The newest `MAX_EFFECTS` effects, in order.
    """

    __slots__ = ('effects', '_next_sequence', '_delay_ms')

    def __init__(self, delay_ms: int) -> None:
        self.effects: collections.deque[Effect] = collections.deque(
            maxlen=MAX_EFFECTS
        )
        self._next_sequence = 1
        self._delay_ms = delay_ms

    async def handle(
        self, exchange: faults_module.FaultInjectingExchange
    ) -> None:
        """Answers one request."""
        head = exchange.head
        if head.path == '/control/effects':
            await exchange.send_json(200, self._describe_effects())
            return
        body = await exchange.read_body()
        if isinstance(body, results.Failure):
            await exchange.refuse(400, body)
            return
        document = faults_module.parse_json_object(body)
        if isinstance(document, results.Failure):
            document = {}
        await trio.sleep(self._get_delay_ms(document) / 1000)
        effect = Effect(
            self._next_sequence,
            head.find_header(b'x-request-id') or '',
            str(document.get('key', '')),
            head.method,
            head.path,
        )
        if head.method != 'GET':
            self._next_sequence += 1
            self.effects.append(effect)
        last_part = head.path.rpartition('/')[2]
        if last_part == 'echo':
            content_type = head.find_header(b'content-type') or 'text/plain'
            headers = [(b'content-type', content_type.encode('latin-1'))]
            await exchange.send_whole(200, headers, body)
            return
        if last_part == 'ping':
            await exchange.send_whole(200, [], b'')
            return
        status = 200 if head.method == 'GET' else 201
        await exchange.send_json(status, effect.describe())

    def _get_delay_ms(self, document: dict) -> float:
        """Returns the delay requested by a call, or the default."""
        delay_ms = document.get('delay_ms')
        if isinstance(delay_ms, int | float):
            return delay_ms
        return self._delay_ms

    def _describe_effects(self) -> dict[str, object]:
        return {
            'effects': [effect.describe() for effect in self.effects],
            'doubled_request_ids': _find_duplicates(
                [effect.request_id for effect in self.effects]
            ),
            'doubled_keys': _find_duplicates(
                [effect.key for effect in self.effects]
            ),
        }


def _find_duplicates(names: list[str]) -> list[str]:
    """Returns the non-empty names that occur more than once."""
    return [
        name
        for name, count in collections.Counter(names).items()
        if name and count > 1
    ]


def create_plain_service(delay_ms: int = 0) -> PlainService:
    """Creates a service that waits before each effect."""
    return PlainService(delay_ms)
