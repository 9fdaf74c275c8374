"""Puts the interpreter, the libraries and the program into one executable."""

import importlib.metadata
import pathlib
import py_compile
import re
import subprocess
import sysconfig
import tempfile
import zipfile

_ROOT = pathlib.Path(__file__).parents[2]
_LAUNCHER = pathlib.Path(__file__).with_name('launcher.c')
_START = pathlib.Path(__file__).with_name('binary_start.py')
_REQUIREMENTS = _ROOT / 'requirements.txt'

_OMITTED_STANDARD = frozenset(
    {
        '__pycache__',
        'ensurepip',
        'idlelib',
        'lib2to3',
        'pydoc_data',
        'site-packages',
        'test',
        'tests',
        'tkinter',
        'turtledemo',
    }
)
_OMITTED_EXTENSIONS = re.compile(
    r'_?(test|xx|tkinter|curses|ossaudiodev|nis|readline|sqlite3|posixshmem)'
)
_OMITTED_DIRECTORIES = frozenset({'tests', '__pycache__'})
_PROVIDED_LIBRARIES = re.compile(
    r'(linux-vdso|ld-linux|lib(c|m|dl|pthread|rt|util)\.so)'
)
# Needed only to build hdrhistogram.
_OMITTED_DISTRIBUTIONS = frozenset({'pbr', 'setuptools'})
_ZIP_DATE = (2020, 1, 1, 0, 0, 0)


class _Archive:
    """The zip archive at the end of the executable.

    Nothing in it is compressed: the interpreter reads it before it can load
    the extension module that decompresses.
    """

    __slots__ = ('_zip', '_directories', '_work', '_libraries')

    def __init__(self, path: pathlib.Path, work: pathlib.Path) -> None:
        self._zip = zipfile.ZipFile(path, 'w', zipfile.ZIP_STORED)
        self._directories: set[str] = set()
        self._work = work
        # Paths of shared libraries by name.
        self._libraries: dict[str, str] = {}

    def add_tree(
        self, root: pathlib.Path, prefix: str, omitted: frozenset[str]
    ) -> None:
        """Adds the files below a directory."""
        for path in sorted(root.rglob('*')):
            parts = path.relative_to(root).parts
            if not path.is_file() or omitted.intersection(parts):
                continue
            if parts[0].startswith('config-') or parts[0] == 'lib-dynload':
                continue
            self.add_file(path, prefix + '/'.join(parts))

    def add_file(self, path: pathlib.Path, name: str) -> None:
        """Adds a module, an extension module or a data file."""
        if name.endswith('.py'):
            compiled = self._work / 'module.pyc'
            py_compile.compile(
                str(path),
                cfile=str(compiled),
                dfile=name,
                doraise=True,
                invalidation_mode=(
                    py_compile.PycInvalidationMode.UNCHECKED_HASH
                ),
            )
            self._write(name + 'c', compiled.read_bytes())
            return
        if name.endswith('.so'):
            self._add_extension(path, name)
            return
        self._write(name, path.read_bytes())

    def close(self) -> None:
        """Adds the shared libraries and finishes the archive."""
        for name, path in self._libraries.items():
            self._write(f'libraries/{name}', pathlib.Path(path).read_bytes())
        order = '\n'.join(self._libraries)
        self._write('libraries/order', order.encode())
        self._zip.close()

    def _add_extension(self, path: pathlib.Path, name: str) -> None:
        module = name.split('.', 1)[0].replace('/', '.')
        self._collect_libraries(path)
        stripped = self._work / 'extension.so'
        _run('strip', '--strip-debug', '-o', str(stripped), str(path))
        self._write(f'extensions/{module}.so', stripped.read_bytes())
        self._add_directories(name)

    def _collect_libraries(self, path: pathlib.Path) -> None:
        """Collects the libraries that a file needs, deepest first."""
        lines = _run('ldd', str(path)).splitlines()
        for line in reversed(lines):
            match = re.match(r'\s*(\S+) => (/\S+)', line)
            if match is None or _PROVIDED_LIBRARIES.match(match.group(1)):
                continue
            name, library_path = match.groups()
            if name in self._libraries:
                continue
            self._collect_libraries(pathlib.Path(library_path))
            self._libraries[name] = library_path

    def _write(self, name: str, data: bytes) -> None:
        self._add_directories(name)
        self._zip.writestr(zipfile.ZipInfo(name, _ZIP_DATE), data)

    def _add_directories(self, name: str) -> None:
        """Adds the directories of a file.

        Packages without an __init__ module are found by these entries.
        """
        for parent in reversed(pathlib.PurePosixPath(name).parents):
            directory = f'{parent}/'
            if directory == './' or directory in self._directories:
                continue
            self._directories.add(directory)
            self._zip.writestr(zipfile.ZipInfo(directory, _ZIP_DATE), b'')


def build_binary(output: str) -> None:
    """Builds the executable.

    Args:
        output: Path of the file to write.

    Raises:
        subprocess.CalledProcessError: The compiler or a tool failed.
    """
    output_path = pathlib.Path(output)
    output_path.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as directory:
        work = pathlib.Path(directory)
        launcher = work / 'launcher'
        _compile_launcher(launcher)
        archive_path = work / 'archive.zip'
        _fill_archive(archive_path, work)
        output_path.write_bytes(
            launcher.read_bytes() + archive_path.read_bytes()
        )
    output_path.chmod(0o755)


def _fill_archive(path: pathlib.Path, work: pathlib.Path) -> None:
    """Writes all modules into an archive."""
    archive = _Archive(path, work)
    standard = pathlib.Path(sysconfig.get_path('stdlib'))
    archive.add_tree(standard, '', _OMITTED_STANDARD)
    for extension in sorted((standard / 'lib-dynload').glob('*.so')):
        if not _OMITTED_EXTENSIONS.match(extension.name):
            archive.add_file(extension, extension.name)
    for distribution in _list_distributions():
        _add_distribution(archive, distribution)
    archive.add_tree(
        _ROOT / 'siskinmount', 'siskinmount/', _OMITTED_DIRECTORIES
    )
    archive.add_file(_START, _START.name)
    archive.close()


def _list_distributions() -> list[importlib.metadata.Distribution]:
    """Returns the required distributions and those that they require."""
    waiting = _read_names(_REQUIREMENTS.read_text().splitlines())
    found: dict[str, importlib.metadata.Distribution] = {}
    while waiting:
        name = waiting.pop()
        if name in found or name in _OMITTED_DISTRIBUTIONS:
            continue
        distribution = importlib.metadata.distribution(name)
        found[name] = distribution
        waiting.extend(_read_names(distribution.requires or []))
    return [found[name] for name in sorted(found)]


def _read_names(requirements: list[str]) -> list[str]:
    """Returns the names of the requirements that hold here."""
    names: list[str] = []
    for requirement in requirements:
        _, _, marker = requirement.partition(';')
        if re.search(r'extra\s*==|python_version|sys_platform|os_name|impl',
                     marker):  # fmt: skip
            continue
        match = re.match(r'[A-Za-z0-9._-]+', requirement)
        if match:
            names.append(match.group().lower())
    return names


def _add_distribution(
    archive: _Archive, distribution: importlib.metadata.Distribution
) -> None:
    """Adds the installed files of a distribution."""
    for file in distribution.files or []:
        if file.parts[0].endswith('.dist-info') or '..' in file.parts:
            continue
        if file.suffix == '.pyc' or _OMITTED_DIRECTORIES & set(file.parts):
            continue
        if file.suffix in ('.pyi', '.c', '.h', '.pyx', '.pxd', '.pxi'):
            continue
        archive.add_file(pathlib.Path(str(file.locate())), str(file))


def _compile_launcher(output: pathlib.Path) -> None:
    """Compiles the launcher with the interpreter linked in."""
    variables = sysconfig.get_config_vars()
    static_library = pathlib.Path(
        variables['LIBPL'], f'libpython{variables["LDVERSION"]}.a'
    )
    _run(
        'cc',
        '-O2',
        '-s',
        f'-I{sysconfig.get_path("include")}',
        '-o',
        str(output),
        str(_LAUNCHER),
        '-Wl,--whole-archive',
        str(static_library),
        '-Wl,--no-whole-archive',
        '-Wl,--export-dynamic',
        '-lm',
        '-ldl',
        '-lpthread',
        '-lutil',
    )


def _run(*command: str) -> str:
    """Runs a build tool and returns its output."""
    return subprocess.run(
        command, check=True, capture_output=True, text=True
    ).stdout
