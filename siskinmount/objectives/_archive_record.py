"""What an entry keeps of its objectives in the log."""

import orjson

from siskinmount import results
from siskinmount import telemetry

#: Stream of the log that holds the records of all entries.
ARCHIVE_STREAM = 'objectives'


class ArchiveRecord:
    """Counts of some windows of one process.

    Attributes:
        vm: Name of the VM that measured them.
        incarnation: Incarnation of its process.
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
    """Returns a record as JSON."""
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
    """Parses a record."""
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
            f'invalid record of objectives: {error!r}',
        )


def _decode_window(fields: list[object]) -> telemetry.WindowSnapshot:
    """Builds a window from its fields.

    Raises:
        TypeError, ValueError: They are not those of a window.
    """
    service, objective, *numbers = fields
    for number in numbers:
        if not isinstance(number, int) or number < 0:
            raise ValueError(f'{number!r} is no count')
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
