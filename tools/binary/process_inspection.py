"""Inspects a running process: its children and the files it writes."""

import pathlib

_WRITE_FLAGS = 0o3
_CHILD_MINOR_FAULTS_FIELD = 8
_PROC = pathlib.Path('/proc')


def list_children(pid: int) -> list[int]:
    """Returns the ids of the child processes of a process."""
    children: list[int] = []
    for path in (_PROC / str(pid) / 'task').glob('*/children'):
        children.extend(int(child) for child in path.read_text().split())
    return children


def count_reaped_child_page_faults(pid: int) -> int:
    """Returns the minor page faults of children that were waited for.

    The count is above zero if the process ever started a child and waited for
    it, even if the child ended too fast to be listed.
    """
    text = (_PROC / str(pid) / 'stat').read_text()
    # The program name, in parentheses, may contain spaces and parentheses.
    fields = text.rpartition(')')[2].split()
    return int(fields[_CHILD_MINOR_FAULTS_FIELD])


def list_files_open_for_writing(pid: int) -> list[str]:
    """Returns the regular files that a process has open for writing."""
    paths: list[str] = []
    for descriptor in (_PROC / str(pid) / 'fd').iterdir():
        target = descriptor.resolve()
        if not target.is_file():
            continue
        details = _PROC / str(pid) / 'fdinfo' / descriptor.name
        flags = int(details.read_text().split('flags:')[1].split()[0], 8)
        if flags & _WRITE_FLAGS:
            paths.append(str(target))
    return paths
