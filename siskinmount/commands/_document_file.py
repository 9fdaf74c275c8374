"""Reads the file of a service document."""

import pathlib

from siskinmount.commands import _command


def read_document_text(
    invocation: _command.Invocation, path: str
) -> str | None:
    """Returns the text of a file, or None after a complaint."""
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, ValueError) as error:
        invocation.write_error(f'{path}: cannot be read: {error}')
        return None
