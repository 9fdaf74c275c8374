"""Lays out rows of text in columns."""


def format_table(headings: list[str], rows: list[list[str]]) -> list[str]:
    """Returns lines with columns as wide as their widest cell."""
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
