"""Property tests of the responses to callers under random upstream faults.

Upstreams follow random scripts. The runs that they started are compared with
the response that the caller got.
"""

import hypothesis
from hypothesis import strategies
import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import results
from siskinmount import transport
from siskinmount.gateway import _online_handler
from siskinmount.gateway import _online_request
from siskinmount.gateway import _wire
from siskinmount.gateway.tests import online_context

_REQUEST_ID = 'q'
_EVENT_COUNT = 4
_BODY = b'whole'
_DEADLINE_MS = 3000
#: Statuses that promise that a request has not run.
_PROMISES = (408, 421, 429, 503)
_ECHO = (b'x-request-id', _REQUEST_ID.encode('ascii'))

_REFUSED_CONNECTION = 'refused connection'
_NOT_RUN = 'not run'
_OTHER_PROCESS = 'other process'
_FOREIGN = 'foreign'
_LOST = 'lost'
_SILENT = 'silent'
_FAILED = 'failed'
_BUSY_AFTER_RUN = 'busy after the run'
_WHOLE = 'whole'
_CUT = 'cut'
_STALLED = 'stalled'
_REPEATED = 'repeated event'
_REPEATED_AT_ONCE = 'events and a repeated one in one read'
_BEHAVIOURS = (
    _REFUSED_CONNECTION,
    _NOT_RUN,
    _OTHER_PROCESS,
    _FOREIGN,
    _LOST,
    _SILENT,
    _FAILED,
    _BUSY_AFTER_RUN,
    _WHOLE,
    _CUT,
    _STALLED,
    _REPEATED,
    _REPEATED_AT_ONCE,
)
_REPEATS = (_REPEATED, _REPEATED_AT_ONCE)
_WITHOUT_RUN = (_REFUSED_CONNECTION, _NOT_RUN, _OTHER_PROCESS)
_STATUS = {
    _NOT_RUN: 503,
    _OTHER_PROCESS: 421,
    _FAILED: 500,
    _BUSY_AFTER_RUN: 503,
}


def _event(number):
    return b'id: %d\ndata: e%d\n\n' % (number, number)


#: Time limit of the client for a body that is not needed.
_DISCARD_TIMEOUT_S = 0.5


class _Answer:
    """Fake of an upstream's response, as the connection pool returns it."""

    def __init__(self, behaviour, is_stream, first_event, cut_after):
        self.status = _STATUS.get(behaviour, 200)
        self.headers = [_ECHO]
        self.body_framing = transport.BodyFraming.CHUNKED
        self.received_body_bytes = 0
        if behaviour == _FOREIGN:
            self.headers = [(b'x-request-id', b'another')]
        if behaviour == _NOT_RUN:
            self.headers.append((b'x-not-run', b'1'))
        self._behaviour = behaviour
        self._is_stream = is_stream
        last = _EVENT_COUNT
        if behaviour in (_CUT, _STALLED, *_REPEATS):
            last = min(last, first_event - 1 + cut_after)
        self._chunks = [_event(n) for n in range(first_event, last + 1)]
        if behaviour in _REPEATS and self._chunks:
            self._chunks.append(self._chunks[-1])
        if behaviour == _REPEATED_AT_ONCE and self._chunks:
            self._chunks = [b''.join(self._chunks)]
        if not is_stream or self.status != 200:
            # A whole body, of which a faulty upstream sends nothing.
            is_faulty = behaviour in (_STALLED, _CUT, *_REPEATS)
            self._chunks = [] if is_faulty else [_BODY]

    async def discard_body(self):
        with trio.move_on_after(_DISCARD_TIMEOUT_S):
            while await self.receive_chunk() == _BODY:
                pass

    def announces_more_than(self, max_bytes):
        return False

    async def receive_chunk(self):
        await trio.sleep(0.01)
        if self._chunks:
            return self._chunks.pop(0)
        if self._behaviour == _STALLED:
            await trio.sleep_forever()
        if self._behaviour in (_CUT, *_REPEATS):
            return _lost()
        return b''

    def close(self):
        pass

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        pass


def _lost():
    return results.Failure(
        results.ResultCode.UPSTREAM_LOST, 'reset', results.RunState.UNKNOWN
    )


class _Upstreams:
    """Follows one script per request, then `last_script`; counts runs."""

    def __init__(self, scripts, last_script, is_stream):
        self.runs = 0
        self.behaviours = []
        self._scripts = list(scripts)
        self._last_script = last_script
        self._is_stream = is_stream

    def get_client(self, upstream):
        return self

    def find_last_closing_s(self):
        return float('-inf')

    async def send(self, request, *unused):
        behaviour, cut_after = self._last_script
        if self._scripts:
            behaviour, cut_after = self._scripts.pop(0)
        self.behaviours.append(behaviour)
        await trio.sleep(0.02)
        if behaviour == _REFUSED_CONNECTION:
            return results.Failure(
                results.ResultCode.UPSTREAM_UNREACHABLE,
                'refused',
                results.RunState.NOT_RUN,
            )
        if behaviour not in _WITHOUT_RUN:
            self.runs += 1
        if behaviour == _SILENT:
            await trio.sleep_forever()
        if behaviour == _LOST:
            return _lost()
        first_event = 1
        last_id = transport.find_header(request.headers, b'last-event-id')
        if last_id is not None:
            first_event = int(last_id) + 1
        return _Answer(behaviour, self._is_stream, first_event, cut_after)


class _Exchange:
    """Fake of a caller's exchange."""

    def __init__(self):
        self.head = transport.RequestHead('POST', '/p', [], '')
        self.response_started = False
        self.status = None
        self.body = b''
        self.is_own = False
        self.is_finished = False

    async def send_whole(self, status, headers, body):
        self.response_started = True
        self.status = status
        self.body = body
        self.is_finished = True

    async def send_json(self, status, document, headers=()):
        self.is_own = True
        await self.send_whole(status, headers, b'')

    async def start_stream(self, status, headers):
        self.response_started = True
        self.status = status

    async def send_chunk(self, data):
        self.body += data

    async def finish(self):
        self.is_finished = True


def _create_view():
    def decode(upstream_id, source):
        return fleet.Upstream(
            upstream_id=upstream_id,
            service='s',
            address=transport.Address('127.0.0.1', 1),
            failure_domain='a',
            state=fleet.UpstreamState.READY,
            slot_count=4,
            started_at_ms=0,
        )

    view = fleet.create_fleet_view(lambda source: None, decode)
    view.replace_upstreams({f'u{n}': b'x' for n in range(3)}, 'test')
    return view


async def _serve(exchange, upstreams, kind, max_attempts):
    """Handles one request; returns whether its connection must be closed."""
    context = online_context.create_online_context(upstreams, _create_view())
    route = fleet.FleetRoute(
        name='r',
        host='h',
        path_prefix='/',
        kind=kind,
        shares=(fleet.ServiceShare('s', 1),),
        timeout_ms=_DEADLINE_MS,
        target_ms=100,
        max_gap_ms=100,
        max_attempts=max_attempts,
        resumable=True,
    )
    request = _online_request.OnlineRequest(
        exchange,
        route,
        _wire.CallerRequest(_REQUEST_ID, _DEADLINE_MS),
        b'',
        1,
        trio.current_time(),
    )
    try:
        await _online_handler.create_online_handler(context, request).run()
    except trio.BrokenResourceError:
        return True
    finally:
        if context.load.own:
            raise AssertionError(
                f'requests still counted as load: {context.load.own}'
            )
    return False


_STEPS = strategies.tuples(
    strategies.sampled_from(_BEHAVIOURS), strategies.integers(0, 3)
)
_SCRIPTS = strategies.lists(_STEPS, max_size=4)
_KINDS = (
    fleet.RouteKind.IDEMPOTENT,
    fleet.RouteKind.STREAMING,
    fleet.RouteKind.NON_IDEMPOTENT,
)


class OnlineHandlerPropertiesTest(testtools.TestCase):

    @hypothesis.settings(
        max_examples=400, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(
        _SCRIPTS,
        _STEPS,
        strategies.sampled_from(_KINDS),
        strategies.integers(1, 3),
    )
    def test_response_matches_what_the_upstreams_ran(
        self, scripts, last_script, kind, max_attempts
    ):
        is_stream = kind is fleet.RouteKind.STREAMING
        exchange = _Exchange()
        upstreams = _Upstreams(scripts, last_script, is_stream)
        seen = {}

        async def main():
            began_s = trio.current_time()
            seen['is_cut'] = await _serve(
                exchange, upstreams, kind, max_attempts
            )
            seen['took_s'] = trio.current_time() - began_s

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        # Each request gets one final response before its deadline.
        self.assertNotEqual(seen['is_cut'], exchange.is_finished)
        self.assertLessEqual(seen['took_s'], _DEADLINE_MS / 1000 + 0.1)
        # A refusal that promises that nothing ran is true.
        if exchange.is_own and exchange.status in _PROMISES:
            self.assertEqual(0, upstreams.runs)
        if not exchange.is_own and exchange.is_finished:
            self.assertNotIn(exchange.status, _PROMISES)
        # No more runs than the route allows; a non-idempotent request runs at
        # most once.
        allowed = 1 if kind is fleet.RouteKind.NON_IDEMPOTENT else max_attempts
        self.assertLessEqual(upstreams.runs, allowed)
        if is_stream and exchange.status == 200:
            self._check_stream(exchange)
        elif exchange.status == 200:
            self.assertEqual(_BODY, exchange.body)
            self.assertEqual(_WHOLE, upstreams.behaviours[-1])

    def test_events_read_together_with_a_repeated_one_reach_the_caller(self):
        exchange = _Exchange()
        scripts = [(_REPEATED_AT_ONCE, 2), (_WHOLE, 0)]
        upstreams = _Upstreams(scripts, (_WHOLE, 0), True)

        async def main():
            await _serve(exchange, upstreams, fleet.RouteKind.STREAMING, 2)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertTrue(exchange.is_finished)
        self._check_stream(exchange)

    def _check_stream(self, exchange):
        """Checks that the events are in order, without gaps or repeats."""
        whole = [_event(n) for n in range(1, _EVENT_COUNT + 1)]
        count = exchange.body.count(b'\n\n')
        self.assertEqual(b''.join(whole[:count]), exchange.body)
        if exchange.is_finished:
            self.assertEqual(_EVENT_COUNT, count)
