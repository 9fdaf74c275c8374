"""Starts and stops processes for tools and tests.

The product itself starts no processes.
"""

from collections.abc import AsyncIterator
import contextlib
import os
import pathlib
import signal
import subprocess
import sys

import orjson
import trio

from siskinmount import results
from siskinmount import transport

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
MAX_LOG_BYTES = 16 * 1024 * 1024
READ_BYTES = 64 * 1024
_ROOT = pathlib.Path(__file__).resolve().parent.parent
_CLOCK_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


class ProcessUsage:
    """Resources used by a process.

    Attributes:
        cpu_s: User and system processor time.
        resident_bytes: Resident memory.
    """

    __slots__ = ('cpu_s', 'resident_bytes')

    def __init__(self, cpu_s: float, resident_bytes: int) -> None:
        self.cpu_s = cpu_s
        self.resident_bytes = resident_bytes


class ManagedProcess:
    """A process started by a `ProcessGroup`.

    Attributes:
        name: Name for logs.
        pid: Process id.
        listening: Address from the first line of standard output, or None.
        ready_document: JSON object from that line; empty if the line was not
            awaited.
        log: Standard error, and standard output after its first line; the
            oldest data beyond `MAX_LOG_BYTES` is dropped.
    """

    __slots__ = (
        'name',
        'pid',
        'listening',
        'ready_document',
        'log',
        '_process',
        '_ready',
        '_errors_ended',
        '_waits_for_line',
    )

    def __init__(
        self, name: str, process: trio.Process, waits_for_line: bool
    ) -> None:
        self.name = name
        self.pid = process.pid
        self.listening: transport.Address | None = None
        self.ready_document: dict[str, object] = {}
        self.log = bytearray()
        self._process = process
        self._ready = trio.Event()
        self._errors_ended = trio.Event()
        self._waits_for_line = waits_for_line

    @property
    def exit_status(self) -> int | None:
        """Exit status, negative for a signal; None while it runs."""
        return self._process.poll()

    def read_usage(self) -> ProcessUsage | None:
        """Returns the resources used so far, or None after the exit."""
        if self.exit_status is not None:
            return None
        try:
            stat = pathlib.Path(f'/proc/{self.pid}/stat').read_text('ascii')
        except OSError:
            return None
        fields = stat.rpartition(')')[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ProcessUsage(
            ticks / _CLOCK_TICKS_PER_S, int(fields[21]) * _PAGE_BYTES
        )

    def pause(self) -> None:
        """Suspends the process with SIGSTOP."""
        self._send_signal(signal.SIGSTOP)

    def unpause(self) -> None:
        """Resumes the process with SIGCONT."""
        self._send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Asks the process to stop with SIGTERM."""
        self._send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Ends the process with SIGKILL."""
        self._send_signal(signal.SIGKILL)

    def reload(self) -> None:
        """Makes the process reload its settings with SIGHUP."""
        self._send_signal(signal.SIGHUP)

    async def wait(self) -> int:
        """Waits for the exit and returns the exit status."""
        return await self._process.wait()

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Terminates the process, and kills it after the timeout.

        Returns:
            The exit status; `-SIGKILL` if the timeout passed.
        """
        self.terminate()
        with trio.move_on_after(timeout_s):
            return await self._process.wait()
        self.kill()
        return await self._process.wait()

    async def wait_ready(self, timeout_s: float) -> bool:
        """Waits for the first line; returns False if it does not arrive."""
        with trio.move_on_after(timeout_s):
            await self._ready.wait()
        return bool(self.ready_document)

    async def read_output(self) -> None:
        """Parses the first line of standard output and logs the rest."""
        stream = self._process.stdout
        assert stream is not None
        pending = b''
        while self._waits_for_line and not self._ready.is_set():
            data = await stream.receive_some(READ_BYTES)
            if not data:
                self._ready.set()
                return
            pending += data
            line, newline, rest = pending.partition(b'\n')
            if not newline:
                continue
            self._parse_ready_line(line)
            pending = rest
        self.add_to_log(pending)
        await self._read_into_log(stream)

    async def read_errors(self) -> None:
        """Logs standard error."""
        stream = self._process.stderr
        assert stream is not None
        await self._read_into_log(stream)
        self._errors_ended.set()

    async def wait_log_ended(self) -> None:
        """Waits until standard error has ended and is in the log."""
        await self._errors_ended.wait()

    def add_to_log(self, data: bytes) -> None:
        """Appends output to the log, dropping the oldest over the bound."""
        self.log += data
        excess = len(self.log) - MAX_LOG_BYTES
        if excess > 0:
            del self.log[:excess]

    def _send_signal(self, number: signal.Signals) -> None:
        """Sends a signal unless the process has exited."""
        if self._process.poll() is None:
            self._process.send_signal(number)

    def _parse_ready_line(self, line: bytes) -> None:
        """Parses the first line: a JSON object with the address."""
        try:
            document = orjson.loads(line)
        except orjson.JSONDecodeError:
            document = None
        if isinstance(document, dict):
            self.ready_document = document
            address = transport.parse_address(str(document.get('listening')))
            if not isinstance(address, results.Failure):
                self.listening = address
        else:
            self.add_to_log(line + b'\n')
        self._ready.set()

    async def _read_into_log(self, stream: trio.abc.ReceiveStream) -> None:
        while True:
            data = await stream.receive_some(READ_BYTES)
            if not data:
                return
            self.add_to_log(data)


class StartError(Exception):
    """A process did not become ready; the message ends with its last output."""


class ProcessGroup:
    """Starts processes, and kills those still running when it is closed.

    Attributes:
        processes: The newest started process of each name.
    """

    __slots__ = ('processes', '_all', '_nursery', '_log_dir')

    def __init__(
        self, nursery: trio.Nursery, log_dir: pathlib.Path | None
    ) -> None:
        self.processes: dict[str, ManagedProcess] = {}
        self._all: list[ManagedProcess] = []
        self._nursery = nursery
        self._log_dir = log_dir

    async def start_module(
        self,
        name: str,
        module: str,
        arguments: list[str],
        *,
        waits_for_line: bool = True,
        timeout_s: float = READY_TIMEOUT_S,
    ) -> ManagedProcess:
        """Starts `python -m module` and waits for its first line.

        Args:
            name: Name for logs.
            module: Module to run.
            arguments: Command-line arguments of the module.
            waits_for_line: Whether the module prints a JSON line with its
                address when it is ready.
            timeout_s: Maximum wait for that line.

        Raises:
            StartError: The line did not arrive.
        """
        command = [sys.executable, '-m', module, *arguments]
        process = await trio.lowlevel.open_process(
            command,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            cwd=_ROOT,
        )
        managed = ManagedProcess(name, process, waits_for_line)
        self.processes[name] = managed
        self._all.append(managed)
        self._nursery.start_soon(managed.read_output)
        self._nursery.start_soon(managed.read_errors)
        if waits_for_line and not await managed.wait_ready(timeout_s):
            managed.kill()
            await managed.wait_log_ended()
            tail = bytes(managed.log[-2000:]).decode('utf-8', 'replace')
            raise StartError(f'{name} did not become ready: {tail}')
        return managed

    async def close(self) -> None:
        """Kills all processes that still run and writes the logs."""
        for managed in self._all:
            managed.kill()
        for managed in self._all:
            await managed.wait()
        if self._log_dir is None:
            return
        self._log_dir.mkdir(parents=True, exist_ok=True)
        for managed in self._all:
            file_name = f'{managed.name}-{managed.pid}.log'
            (self._log_dir / file_name).write_bytes(bytes(managed.log))


async def _raise_on_sigterm() -> None:
    """Turns SIGTERM into an exception, so that the processes are killed.

    Raises:
        KeyboardInterrupt: SIGTERM arrived; SIGINT raises the same.
    """
    with trio.open_signal_receiver(signal.SIGTERM) as signals:
        async for _ in signals:
            raise KeyboardInterrupt('terminated by SIGTERM')


@contextlib.asynccontextmanager
async def open_process_group(
    log_dir: pathlib.Path | None = None,
) -> AsyncIterator[ProcessGroup]:
    """Opens a group whose processes are killed on exit and on SIGTERM.

    Args:
        log_dir: Directory for the logs, written on exit; None keeps them
            in memory only.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_raise_on_sigterm)
        group = ProcessGroup(nursery, log_dir)
        try:
            yield group
        finally:
            with trio.CancelScope(shield=True):
                await group.close()
            nursery.cancel_scope.cancel()
