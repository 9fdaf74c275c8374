"""Formats rows of text as an aligned table."""


def format_table(headings: list[str], rows: list[list[str]]) -> list[str]:
    """Returns the lines of a table with left-aligned columns."""
    widths = [len(heading) for heading in headings]
    for row in rows:
        for column, cell in enumerate(row):
            widths[column] = max(widths[column], len(cell))
    lines: list[str] = []
    for row in [headings, *rows]:
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        lines.append('  '.join(cells).rstrip())
    return lines
