"""Tests of the encoding of origins in records."""

import testtools

from siskinmount import fleet
from siskinmount import results
from siskinmount import stream_origins


class RecordCodecTest(testtools.TestCase):

    def test_decoded_origins_are_those_that_were_encoded(self):
        origins = []
        for number, version in enumerate(('v1', 'v2', 'v1', 'ü')):
            key = stream_origins.make_stream_key(f'q{number}', f'f{number}')
            origins.append(
                stream_origins.StreamOrigin(
                    key, fleet.Software('s', version), number
                )
            )
        decoded = stream_origins.decode_origins(
            stream_origins.encode_origins(origins)
        )

        def describe(origin):
            key = origin.key
            return (
                key.first_attempt,
                key.fingerprint,
                str(origin.software),
                origin.ordinal,
            )

        self.assertEqual(
            sorted(describe(origin) for origin in origins),
            sorted(describe(origin) for origin in decoded),
        )

    def test_invalid_values_are_failures(self):
        cases = [
            b'',
            b'[]',
            b'{}',
            b'{"origins": 1}',
            b'{"origins": [["s", "v"]]}',
            b'{"origins": [["s", "v", [["a", "b"]]]]}',
            b'{"origins": [["s", "v", [["a", "b", "x"]]]]}',
            b'{"origins": [["s", "v", [["a", "b", null]]]]}',
        ]
        for value in cases:
            decoded = stream_origins.decode_origins(value)
            self.assertIsInstance(decoded, results.Failure, value)
