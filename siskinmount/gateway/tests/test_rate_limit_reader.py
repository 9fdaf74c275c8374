"""Tests of what is read of the request rates that upstreams accept."""

import logging

import testtools
import trio
import trio.testing

from siskinmount import fleet
from siskinmount import placement
from siskinmount import platform
from siskinmount import telemetry
from siskinmount import transport
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _rate_limit_reader

_OWN = [(b'x-request-id', b'q'), (b'x-server-seal', b's')]


class _Response:

    def __init__(self, headers, status=200):
        self.headers = headers
        self.status = status


def _make_upstream(upstream_id='u'):
    return fleet.Upstream(
        upstream_id=upstream_id,
        service='s',
        address=transport.Address('127.0.0.1', 1),
        failure_domain='a',
        state=fleet.UpstreamState.READY,
        slot_count=8,
        started_at_ms=1,
    )


def _limited(text):
    return [*_OWN, (b'server-limit', text)]


class _Lines(logging.Handler):

    def __init__(self):
        super().__init__(logging.INFO)
        self.events = []

    def emit(self, record):
        self.events.append((record.getMessage(), record.__dict__))


class RateLimitReaderTest(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.lines = _Lines()
        logger = logging.getLogger('siskinmount')
        earlier_level = logger.level
        logger.setLevel(logging.INFO)
        logger.addHandler(self.lines)
        self.addCleanup(logger.removeHandler, self.lines)
        self.addCleanup(logger.setLevel, earlier_level)

    def _read(self, responses):
        """Returns the counts of notices after reading some responses."""
        metrics = _gateway_metrics.create_gateway_metrics(
            telemetry.create_metrics()
        )
        reader = self._create_reader(metrics)

        async def main():
            for response in responses:
                await trio.sleep(1)
                reader.read(
                    _make_upstream(), response, 'q', trio.current_time()
                )

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return [
            metrics.limit_notices.get(what)
            for what in ('named', 'ended', 'invalid')
        ]

    def _create_reader(self, metrics):
        return _rate_limit_reader.create_rate_limit_reader(
            platform.create_wire(),
            placement.create_rate_limits(),
            placement.create_load_table(),
            metrics,
        )

    def test_changes_are_counted_once(self):
        responses = [
            _Response(_OWN),
            _Response(_limited(b'2.5')),
            _Response(_limited(b'2.5')),
            _Response(_limited(b'4')),
            _Response(_OWN),
            _Response(_OWN),
        ]
        self.assertEqual([2, 1, 0], self._read(responses))
        named = [
            fields['per_s']
            for event, fields in self.lines.events
            if event == 'upstream_limit_named'
        ]
        self.assertEqual([2.5, 4.0], named)

    def test_an_invalid_limit_is_logged_and_changes_nothing(self):
        responses = [
            _Response(_limited(b'2.5')),
            _Response(_limited(b'nan')),
            _Response(_limited(b'2.5')),
        ]
        self.assertEqual([1, 0, 1], self._read(responses))
        events = [event for event, _ in self.lines.events]
        self.assertEqual(
            ['upstream_limit_named', 'upstream_limit_invalid'], events
        )

    def test_responses_of_others_name_no_limit(self):
        foreign = [(b'x-request-id', b'another'), *_limited(b'1')[1:]]
        cases = [
            # Response, and whether its limit counts.
            (_Response(foreign), 0),
            (_Response(_limited(b'1'), 421), 0),
            (_Response([(b'server-limit', b'1')]), 0),
            (_Response(_limited(b'1'), 500), 1),
            (_Response([*_limited(b'1'), (b'x-not-run', b'1')], 503), 1),
        ]
        for response, expected in cases:
            self.assertEqual([expected, 0, 0], self._read([response]))
