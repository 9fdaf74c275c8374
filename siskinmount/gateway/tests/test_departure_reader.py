"""Tests of what the first response of a leaving upstream sets off."""

import testtools

from siskinmount import placement
from siskinmount import platform
from siskinmount import telemetry
from siskinmount.gateway import _departure_reader
from siskinmount.gateway import _gateway_metrics

_LEAVING = [
    (b'x-request-id', b'q'),
    (b'x-server-seal', b's'),
    (b'server-leaving', b'1'),
]


class _View:

    def __init__(self):
        self.is_known = False

    def record_departure(self, upstream, request_id):
        is_new, self.is_known = not self.is_known, True
        return is_new


class _Response:

    status = 200

    def __init__(self, headers):
        self.headers = headers


class DepartureReaderTest(testtools.TestCase):

    def test_peers_are_told_at_once_and_only_of_the_first_response(self):
        load = placement.create_load_table()
        metrics = _gateway_metrics.create_gateway_metrics(
            telemetry.create_metrics()
        )
        reader = _departure_reader.create_departure_reader(
            platform.create_wire(), _View(), load, metrics
        )
        seen = []
        for headers in (_LEAVING[:2], _LEAVING, _LEAVING):
            before = load.version
            reader.read(None, _Response(headers), 'q')
            seen.append((load.version - before, metrics.departures.get()))
        self.assertEqual([(0, 0), (1, 1), (0, 1)], seen)
