"""Log records with the objective counts of an entry."""

import orjson

from siskinmount import results
from siskinmount import telemetry

#: Stream of the log that holds the records of all entries.
ARCHIVE_STREAM = 'objectives'


class ArchiveRecord:
    """Objective counts of windows of one process.

    Attributes:
        vm: Name of the VM that recorded the windows.
        incarnation: Incarnation of the process.
        windows: The windows, without their histograms.
    """

    __slots__ = ('vm', 'incarnation', 'windows')

    def __init__(
        self,
        vm: str,
        incarnation: int,
        windows: list[telemetry.WindowSnapshot],
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.windows = windows


def encode_record(record: ArchiveRecord) -> bytes:
    """Encodes a record as JSON."""
    windows: list[list[str | int]] = []
    for window in record.windows:
        windows.append(
            [
                window.service,
                window.objective,
                window.window_start_s,
                window.window_s,
                window.good,
                window.bad,
            ]
        )
    return orjson.dumps(
        {
            'vm': record.vm,
            'incarnation': record.incarnation,
            'windows': windows,
        }
    )


def decode_record(data: bytes) -> ArchiveRecord | results.Failure:
    """Decodes a record."""
    try:
        document = orjson.loads(data)
        return ArchiveRecord(
            str(document['vm']),
            int(document['incarnation']),
            [_decode_window(fields) for fields in document['windows']],
        )
    except (KeyError, TypeError, ValueError) as error:
        return results.Failure(
            results.ResultCode.LOG_RECORD_INVALID,
            f'invalid objectives record: {error!r}',
        )


def _decode_window(fields: list[object]) -> telemetry.WindowSnapshot:
    """Decodes a window from its fields.

    Raises:
        TypeError, ValueError: The fields are not those of a window.
    """
    service, objective, *numbers = fields
    for number in numbers:
        if not isinstance(number, int) or number < 0:
            raise ValueError(f'{number!r} is not a non-negative integer')
    window_start_s, window_s, good, bad = numbers
    return telemetry.WindowSnapshot(
        service=str(service),
        objective=str(objective),
        window_start_s=window_start_s,
        window_s=window_s,
        good=good,
        bad=bad,
        histogram=b'',
    )
