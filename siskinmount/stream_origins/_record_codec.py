"""Encodes origins of streams as the value of a record.

A value is a JSON object: `origins` is a list of rows of service, version and
the streams that it began, each as the hashes of first attempt and request and
the number of the run.
"""

import orjson

from siskinmount import fleet
from siskinmount import results
from siskinmount.stream_origins import _origin_table


def encode_origins(origins: list[_origin_table.StreamOrigin]) -> bytes:
    """Encodes origins."""
    by_software: dict[fleet.Software, list[tuple[str, str, int]]] = {}
    for origin in origins:
        key = origin.key
        by_software.setdefault(origin.software, []).append(
            (key.first_attempt, key.fingerprint, origin.ordinal)
        )
    rows: list[tuple[object, ...]] = []
    for software, streams in by_software.items():
        rows.append((software.service, software.version, streams))
    return orjson.dumps({'origins': rows})


def decode_origins(
    value: bytes,
) -> list[_origin_table.StreamOrigin] | results.Failure:
    """Decodes origins, or fails with `LOG_RECORD_INVALID`."""
    origins: list[_origin_table.StreamOrigin] = []
    try:
        for service, version, streams in orjson.loads(value)['origins']:
            software = fleet.Software(str(service), str(version))
            for first_attempt, fingerprint, ordinal in streams:
                key = _origin_table.StreamKey(
                    str(first_attempt), str(fingerprint)
                )
                origins.append(
                    _origin_table.StreamOrigin(key, software, int(ordinal))
                )
    except results.DECODING_ERRORS as error:
        return results.Failure(
            results.ResultCode.LOG_RECORD_INVALID, f'origins: {error!r}'
        )
    return origins
