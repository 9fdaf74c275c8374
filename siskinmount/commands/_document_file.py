"""Reads a service document from a file."""

import pathlib

from siskinmount.commands import _command


def read_document_text(
    invocation: _command.Invocation, path: str
) -> str | None:
    """Reads the text of a document.

    Returns:
        The text, or None after writing an error.
    """
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, ValueError) as error:
        invocation.write_error(f'{path}: cannot be read: {error}')
        return None
