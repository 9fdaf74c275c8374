"""Tests of how the response to a batch item is classified."""

import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import jobs
from siskinmount import placement
from siskinmount import telemetry
from siskinmount import transport
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _item_client
from siskinmount.gateway import _unframed_end

_Outcome = _item_client.RunOutcome


class ItemClientTest(testtools.TestCase):

    def test_only_a_lost_connection_counts_as_a_lost_run(self):
        # Guards against taking an upstream that answers for a broken one.
        cases = [
            (422, _Outcome.UNPROCESSABLE),
            (500, _Outcome.FAILED),
            (429, _Outcome.ERROR_STATUS),
            (503, _Outcome.ERROR_STATUS),
            (504, _Outcome.ERROR_STATUS),
        ]
        for status, expected in cases:
            outcome, _ = _item_client._classify_status(status)
            self.assertIs(expected, outcome, status)


_UPSTREAM = fleet.Upstream(
    upstream_id='u',
    service='s',
    address=transport.Address('127.0.0.1', 1),
    failure_domain='a',
    state=fleet.UpstreamState.READY,
    slot_count=1,
    started_at_ms=1,
    software_version='v1',
)


class _PacedResponse:
    """Fake of a streamed response whose chunks come at an interval."""

    body_framing = transport.BodyFraming.CHUNKED

    def __init__(self, chunks, interval_s):
        self.received_body_bytes = 0
        self._chunks = iter(chunks)
        self._interval_s = interval_s

    async def receive_chunk(self):
        await trio.sleep(self._interval_s)
        chunk = next(self._chunks, b'')
        self.received_body_bytes += len(chunk)
        return chunk


class PacedStreamTest(testtools.TestCase):

    def _collect(self, chunks, interval_s):
        """Returns the outcome, when it came, and the collected events."""

        async def main():
            metrics = _gateway_metrics.create_gateway_metrics(
                telemetry.create_metrics()
            )
            client = _item_client.create_item_client(
                None,
                None,
                None,
                placement.create_upstream_paces(None, None),
                None,
                None,
                None,
                metrics,
                _unframed_end.create_unframed_end_check(
                    None, None, metrics, 1200
                ),
                None,
            )
            progress = jobs.ItemProgress()
            began_at_s = trio.current_time()
            outcome, _ = await client._collect_events(
                _PacedResponse(chunks, interval_s),
                progress,
                'i',
                _UPSTREAM,
                0.0,
            )
            return outcome, trio.current_time() - began_at_s, progress.events

        return trio.run(
            main, clock=trio.testing.MockClock(autojump_threshold=0)
        )

    def test_slow_but_sound_stream_is_read_to_its_end(self):
        chunks = [b'id: %d\ndata: e%d\n\n' % (n, n) for n in range(1, 40)]
        outcome, _, events = self._collect(chunks, 2.9)
        self.assertIs(_Outcome.DONE, outcome)
        self.assertEqual(39, len(events))

    def test_stream_that_completes_no_event_ends(self):
        first = b'id: 1\ndata: e1\n\n'
        cases = [
            # Chunks that come after the first event, one each half second.
            [b'i', b'd', b':', b' ', *[b'2'] * 200],
            [b': comment\n\n'] * 200,
            [b'\n\n'] * 200,
        ]
        for rest in cases:
            outcome, took_s, events = self._collect([first, *rest], 0.5)
            self.assertIs(_Outcome.LOST, outcome, rest[0])
            self.assertAlmostEqual(0.5 + 3.0, took_s, places=3)
            self.assertEqual(['e1'], events)
