"""Main module of the executable: makes extension modules importable.

The dynamic loader loads extension modules from files only. Each module is
written to a memory file system, loaded, and removed at once; its pages stay
mapped.
"""

from collections.abc import Sequence
import importlib.machinery
import os
import sys
import types
import zipimport

DIRECTORY_VARIABLE = 'SISKINMOUNT_MEMORY_DIR'

_EXTENSIONS_PREFIX = 'extensions/'
_LIBRARIES_PREFIX = 'libraries/'
_DEFAULT_DIRECTORIES = ['/run', '/tmp']
_MEMORY_FILE_SYSTEMS = ('tmpfs', 'ramfs', 'rootfs')
# Equal to `commands.ExitStatus.INTERNAL`, which cannot be imported before the
# import of extension modules is set up.
_INTERNAL_EXIT_STATUS = 70
_MOUNTS_PATH = '/proc/self/mounts'


class ExtensionFinder:
    """Finds extension modules in the archive.

    The class does not inherit from the abstract base class, because the module
    of that class needs extension modules.
    """

    __slots__ = ('_archive', '_paths_by_name')

    def __init__(self, archive: zipimport.zipimporter) -> None:
        self._archive = archive
        self._paths_by_name: dict[str, str] = {}
        for path in archive._files:  # type: ignore[attr-defined]
            if path.startswith(_EXTENSIONS_PREFIX) and path.endswith('.so'):
                name = path.removeprefix(_EXTENSIONS_PREFIX)
                self._paths_by_name[name.removesuffix('.so')] = path

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: types.ModuleType | None = None,
    ) -> importlib.machinery.ModuleSpec | None:
        """Returns the spec of an extension module; None for other modules."""
        archive_path = self._paths_by_name.get(fullname)
        if archive_path is None:
            return None
        loader = _ExtensionLoader(fullname, self._archive, archive_path)
        return importlib.machinery.ModuleSpec(
            fullname,
            loader,  # type: ignore[arg-type]
            origin=archive_path,
        )


class _ExtensionLoader:
    """Loads one extension module through a temporary file."""

    __slots__ = ('_name', '_archive', '_archive_path', '_loader')

    def __init__(
        self, name: str, archive: zipimport.zipimporter, archive_path: str
    ) -> None:
        self._name = name
        self._archive = archive
        self._archive_path = archive_path
        self._loader: importlib.machinery.ExtensionFileLoader | None = None

    def create_module(
        self, spec: importlib.machinery.ModuleSpec
    ) -> types.ModuleType:
        """Writes the temporary file, loads it and removes it."""
        path = write_memory_file(self._archive.get_data(self._archive_path))
        try:
            loader = importlib.machinery.ExtensionFileLoader(self._name, path)
            spec.origin = path
            module = loader.create_module(spec)
        finally:
            os.unlink(path)
        spec.origin = self._archive_path
        self._loader = loader
        return module

    def exec_module(self, module: types.ModuleType) -> None:
        """Runs the module's initialization."""
        assert self._loader is not None
        self._loader.exec_module(module)


def write_memory_file(data: bytes) -> str:
    """Writes a new private file on a memory file system.

    Returns:
        The path of the file.

    Raises:
        OSError: No memory file system is writable.
    """
    errors: list[str] = []
    for directory in _list_candidate_directories():
        path = f'{directory}/siskinmount-{os.getpid()}-{os.urandom(8).hex()}'
        try:
            descriptor = os.open(
                path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o700
            )
        except OSError as error:
            errors.append(str(error))
            continue
        with os.fdopen(descriptor, 'wb') as file:
            file.write(data)
        return path
    raise OSError(
        f'no writable memory file system; set {DIRECTORY_VARIABLE}: '
        + '; '.join(errors)
    )


def _list_candidate_directories() -> list[str]:
    """Returns the directories to try, in order."""
    configured = os.environ.get(DIRECTORY_VARIABLE)
    if configured:
        return [configured]
    with open(_MOUNTS_PATH, encoding='utf-8', errors='replace') as file:
        mounts = [line.split() for line in file]
    mounted = [mount[1] for mount in mounts if mount[2] in _MEMORY_FILE_SYSTEMS]
    return [
        directory
        for directory in mounted + _DEFAULT_DIRECTORIES
        if is_memory_directory(directory, mounts)
    ]


def is_memory_directory(directory: str, mounts: list[list[str]]) -> bool:
    """Returns whether a directory is in memory and allows loading of code.

    The innermost mount that contains the directory decides.

    Args:
        directory: Absolute path.
        mounts: The fields of each line of `/proc/self/mounts`.
    """
    innermost: list[str] | None = None
    for mount in mounts:
        mount_point = mount[1].rstrip('/')
        if directory != mount_point and not directory.startswith(
            mount_point + '/'
        ):
            continue
        if innermost is None or len(mount_point) >= len(
            innermost[1].rstrip('/')
        ):
            innermost = mount
    if innermost is None or innermost[2] not in _MEMORY_FILE_SYSTEMS:
        return False
    return 'noexec' not in innermost[3].split(',')


def _load_libraries(archive: zipimport.zipimporter) -> None:
    """Loads the shared libraries that extension modules need, in order."""
    # A built-in module of the executable only.
    import _launcher  # type: ignore[import-not-found]

    names = archive.get_data(_LIBRARIES_PREFIX + 'order').decode().split()
    for name in names:
        path = write_memory_file(archive.get_data(_LIBRARIES_PREFIX + name))
        try:
            _launcher.load_library(path)
        finally:
            os.unlink(path)


def main() -> None:
    """Makes extension modules importable and runs the program."""
    archive = zipimport.zipimporter(sys.executable)
    sys.meta_path.insert(0, ExtensionFinder(archive))
    try:
        _load_libraries(archive)
    except OSError as error:
        print(f'siskinmount: {error}', file=sys.stderr)
        sys.exit(_INTERNAL_EXIT_STATUS)
    from siskinmount import __main__

    __main__.main()


if __name__ == '__main__':
    main()
