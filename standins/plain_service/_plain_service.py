"""The plain service's HTTP interface."""

import collections

import trio

from siskinmount import results
from standins import faults as faults_module

MAX_EFFECTS = 200_000


class Effect:
    """What one call did.

    Attributes:
        sequence: Number of the effect, from 1.
        request_id: The call's `x-request-id`; empty if it had none.
        key: `key` in the call's JSON body; empty if it had none.
        method: The call's method.
        path: The call's path.
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
    """Answers calls and remembers the effect of each that is not a GET.

    A path's last part chooses the answer: `echo` returns the body, `ping`
    returns nothing, and any other returns a description of the effect, such as
    a booking's number.

    Attributes:
        effects: The newest effects, in order.
    """

    __slots__ = ('effects', '_next_sequence', '_delay_ms')

    def __init__(self, delay_ms: int) -> None:
        self.effects: collections.deque[Effect] = collections.deque(
            maxlen=MAX_EFFECTS
        )
        self._next_sequence = 1
        self._delay_ms = delay_ms

    async def handle(self, exchange: faults_module.FaultableExchange) -> None:
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
        await trio.sleep(self._choose_delay_ms(document) / 1000)
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

    def _choose_delay_ms(self, document: dict) -> float:
        """Returns the delay that a call asks for, or the usual one."""
        delay_ms = document.get('delay_ms')
        if isinstance(delay_ms, int | float):
            return delay_ms
        return self._delay_ms

    def _describe_effects(self) -> dict[str, object]:
        return {
            'effects': [effect.describe() for effect in self.effects],
            'doubled_request_ids': _find_doubled(
                [effect.request_id for effect in self.effects]
            ),
            'doubled_keys': _find_doubled(
                [effect.key for effect in self.effects]
            ),
        }


def _find_doubled(names: list[str]) -> list[str]:
    """Returns the names, other than empty ones, that occur more than once."""
    return [
        name
        for name, count in collections.Counter(names).items()
        if name and count > 1
    ]


def create_plain_service(delay_ms: int = 0) -> PlainService:
    """Creates a service that waits before each effect."""
    return PlainService(delay_ms)
