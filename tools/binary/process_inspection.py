"""Looks at a running process: its children and what it writes."""

import pathlib

_WRITE_FLAGS = 0o3
_ENDED_CHILD_FAULTS_FIELD = 8
_PROC = pathlib.Path('/proc')


def list_children(pid: int) -> list[int]:
    """Returns the ids of the processes that a process has started."""
    children: list[int] = []
    for path in (_PROC / str(pid) / 'task').glob('*/children'):
        children.extend(int(child) for child in path.read_text().split())
    return children


def count_ended_child_faults(pid: int) -> int:
    """Returns the page faults of children that have ended.

    It is above zero if the process ever started a child and waited for it,
    also if the child ended too fast to be seen.
    """
    text = (_PROC / str(pid) / 'stat').read_text()
    # The name of the program, in parentheses, may contain anything.
    fields = text.rpartition(')')[2].split()
    return int(fields[_ENDED_CHILD_FAULTS_FIELD])


def list_written_files(pid: int) -> list[str]:
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
