"""Figures as JSON lines: printed by each measurement, read by `__main__`."""

import orjson


class Figure:
    """One measured number.

    Attributes:
        name: What was measured.
        value: The number.
        unit: Its unit.
    """

    __slots__ = ('name', 'value', 'unit')

    def __init__(self, name: str, value: float, unit: str) -> None:
        self.name = name
        self.value = value
        self.unit = unit

    def describe(self) -> dict[str, object]:
        """Returns the figure as a JSON object."""
        return {
            'figure': self.name,
            'value': round(self.value, 4),
            'unit': self.unit,
        }


def print_figure(name: str, value: float, unit: str) -> None:
    """Prints one figure as a JSON line."""
    document = Figure(name, value, unit).describe()
    print(orjson.dumps(document).decode('ascii'), flush=True)


def parse_figures(output: bytes) -> list[Figure]:
    """Parses the output of a measurement.

    Lines that are not figures are skipped.
    """
    figures: list[Figure] = []
    for line in output.splitlines():
        try:
            document = orjson.loads(line)
        except orjson.JSONDecodeError:
            continue
        if not isinstance(document, dict) or 'figure' not in document:
            continue
        figures.append(
            Figure(
                str(document['figure']),
                float(document['value']),
                str(document['unit']),
            )
        )
    return figures
