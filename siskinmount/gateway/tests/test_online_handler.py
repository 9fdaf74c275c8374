"""Tests of responses that arrive near a request's deadline."""

import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import placement
from siskinmount import results
from siskinmount import transport
from siskinmount.gateway import _online_handler
from siskinmount.gateway import _online_request
from siskinmount.gateway import _wire
from siskinmount.gateway.tests import online_context

_DEADLINE_MS = 400


class _Upstream:
    """Fake of the client, the response and the placer of one upstream."""

    def __init__(self, answer_after_s, status):
        self.status = status
        self.headers = [(b'x-request-id', b'q')]
        self.body_framing = transport.BodyFraming.LENGTH
        self.upstream = fleet.Upstream(
            upstream_id='u',
            service='s',
            address=transport.Address('127.0.0.1', 1),
            failure_domain='a',
            state=fleet.UpstreamState.READY,
            slot_count=1,
            started_at_ms=0,
        )
        self.received_body_bytes = 0
        self.sent_count = 0
        self._answer_after_s = answer_after_s
        self._parts = [b'body', b'']

    def place_online(
        self,
        service,
        affinity_key,
        excluded,
        max_wait_ms,
        may_use_avoided=False,
        urgency=placement.Urgency.HIGHEST,
        software=None,
    ):
        return placement.Placement(self.upstream, 0, 0)

    def list_passed_over(self, service):
        return []

    def record_send(self, upstream_id):
        pass

    def describe_limit(self, upstream_id):
        return {}

    def get_client(self, upstream):
        return self

    async def send(self, request, *unused):
        await trio.sleep(self._answer_after_s)
        return self

    async def receive_chunk(self):
        return self._parts.pop(0)

    def announces_more_than(self, max_bytes):
        return False

    async def discard_body(self):
        pass

    def close(self):
        pass

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        pass


class _LimitedUpstream(_Upstream):
    """Accepts the nth attempt after so many refusals, by n."""

    def __init__(self, refusals, statuses=(200,)):
        super().__init__(0, 0)
        self.calls = []
        self._refusals = dict(refusals)
        self._statuses = list(statuses)

    def place_online(self, *args, **options):
        attempt = 1 + self.sent_count
        self.calls.append(attempt)
        if self._refusals.get(attempt, 0):
            self._refusals[attempt] -= 1
            return placement.Refusal(placement.RefusalReason.RATE_LIMITED, 100)
        return super().place_online(*args, **options)

    async def send(self, request, *unused):
        self.sent_count += 1
        self.status = self._statuses.pop(0)
        self._parts = [b'body', b'']
        return await super().send(request)


class _LostUpstream(_LimitedUpstream):
    """Answers with an error, then breaks a stream off, and is gone."""

    def __init__(self):
        super().__init__({}, statuses=[500, 200])

    def place_online(self, *args, **options):
        if self.sent_count == 2:
            return placement.Refusal(placement.RefusalReason.NO_UPSTREAM, 100)
        return super().place_online(*args, **options)

    async def send(self, request, *unused):
        await super().send(request)
        if self.status == 200:
            self._parts = [
                b'id: 1\ndata: a\n\n',
                results.Failure(results.ResultCode.UPSTREAM_LOST, 'cut'),
            ]
        return self


class _Exchange:
    """Fake of a caller's exchange that takes 50 ms to send a response."""

    def __init__(self):
        self.head = transport.RequestHead('GET', '/p', [], '')
        self.response_started = False
        self.answers = []

    async def send_whole(self, status, headers, body):
        self.response_started = True
        await trio.sleep(0.05)
        self.answers.append((status, body))

    async def send_json(self, status, document, headers=()):
        await self.send_whole(status, headers, b'own')

    async def start_stream(self, status, headers):
        self.response_started = True

    async def send_chunk(self, chunk):
        self.answers.append(chunk)


class OnlineHandlerTest(testtools.TestCase):

    def _run(
        self,
        answer_after_s,
        kind=fleet.RouteKind.IDEMPOTENT,
        status=200,
        upstream=None,
        max_attempts=1,
        answers=None,
    ):
        exchange = _Exchange()
        if answers is not None:
            exchange.answers = answers
        upstream = upstream or _Upstream(answer_after_s, status)

        async def main():
            context = online_context.create_online_context(
                upstream, placer=upstream
            )
            route = fleet.FleetRoute(
                name='r',
                host='h',
                path_prefix='/',
                kind=kind,
                shares=(fleet.ServiceShare('s', 1),),
                timeout_ms=5000,
                target_ms=100,
                max_attempts=max_attempts,
                resumable=max_attempts > 1,
            )
            request = _online_request.OnlineRequest(
                exchange,
                route,
                _wire.CallerRequest('q', _DEADLINE_MS),
                b'',
                1,
                trio.current_time(),
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(context.overdue.run)
                nursery.start_soon(self._watch_avoided, context.health)
                await _online_handler.create_online_handler(
                    context, request
                ).run()
                nursery.cancel_scope.cancel()
            self.is_avoided_after = context.health.is_avoided('u')

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return exchange.answers

    async def _watch_avoided(self, health):
        for step in range(100):
            if health.is_avoided('u'):
                self.avoided_after_s = step * 0.01
                return
            await trio.sleep(0.01)

    def test_request_is_refused_at_once_while_upstreams_accept_no_more(self):
        upstream = _LimitedUpstream(refusals={1: 9, 2: 9})
        self.assertEqual([(503, b'own')], self._run(0, upstream=upstream))
        self.assertEqual([1], upstream.calls)

    def test_request_that_an_upstream_has_begun_waits_for_a_token(self):
        # Guards against ending a request as not run after it has run.
        upstream = _LimitedUpstream(refusals={2: 3}, statuses=[500, 200])
        answers = self._run(0, upstream=upstream, max_attempts=2)
        self.assertEqual([(200, b'body')], answers)
        self.assertEqual([1, 2, 2, 2, 2], upstream.calls)

    def test_kept_error_is_not_sent_within_a_stream(self):
        answers = []
        error = self.assertRaises(
            ExceptionGroup,
            self._run,
            0,
            kind=fleet.RouteKind.STREAMING,
            upstream=_LostUpstream(),
            max_attempts=3,
            answers=answers,
        )
        self.assertIsInstance(error.exceptions[0], trio.BrokenResourceError)
        self.assertEqual([b'id: 1\ndata: a\n\n'], answers)

    def test_received_response_is_delivered_after_the_deadline(self):
        self.assertEqual([(200, b'body')], self._run(0.38))

    def test_silent_upstream_times_out_at_the_deadline(self):
        self.assertEqual([(504, b'own')], self._run(5))

    def test_upstream_that_hangs_is_avoided_before_its_request_ends(self):
        self._run(5, fleet.RouteKind.STREAMING)
        # Twice the latency target of 100 ms, checked every 100 ms.
        self.assertLessEqual(self.avoided_after_s, 0.32)

    def test_deadline_does_not_count_as_a_failure_of_the_upstream(self):
        # Guards against avoiding healthy upstreams of buffered responses:
        # requests that run past their deadline once counted as failures.
        cases = [
            (5, 200, [(504, b'own')]),
            (0.1, 504, [(504, b'body')]),
        ]
        for answer_after_s, status, answers in cases:
            given = self._run(answer_after_s, status=status)
            self.assertEqual(answers, given)
            self.assertFalse(self.is_avoided_after)

    def test_forwarded_error_counts_as_a_failure_of_the_upstream(self):
        self._run(0.1, status=500)
        self.assertTrue(self.is_avoided_after)
