"""Publishes configurations and follows the version in force."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import logging
from typing import Any
import uuid

import trio

from siskinmount import backing_services
from siskinmount import results
from siskinmount.state import _backoff
from siskinmount.state import _configuration_versions
from siskinmount.state import _log_tail
from siskinmount.state import _state_stream
from siskinmount.state import _stream_names
from siskinmount.state import records_pb2

_LOGGER = logging.getLogger(__name__)

PUBLISH_TIMEOUT_MS = 10_000
CARRY_CHECK_INTERVAL_MS = 10_000
DEFAULT_RETENTION_MS = 24 * 3600 * 1000


class Accepted:
    """A publication that is in force.

    Attributes:
        version: Version of the publication.
    """

    __slots__ = ('version',)

    def __init__(self, version: int) -> None:
        self.version = version


class VersionConflict:
    """A publication whose base version was not in force any more.

    Attributes:
        winner: The version that was in force when the publication reached the
            log, or None if there was none.
    """

    __slots__ = ('winner',)

    def __init__(
        self, winner: _configuration_versions.ConfigurationVersion | None
    ) -> None:
        self.winner = winner


class _PublicationWatcher:
    """Watches a stream for the outcome of one publication.

    Attributes:
        publication: Identifier of the publication.
        tracker: Evaluates the records of the stream.
        outcome: Outcome of the publication's first copy in the log, or None.
    """

    __slots__ = ('publication', 'tracker', 'outcome')

    def __init__(
        self, publication: str, tracker: _configuration_versions.VersionTracker
    ) -> None:
        self.publication = publication
        self.tracker = tracker
        self.outcome: Accepted | VersionConflict | results.Failure | None = None

    def apply(self, log_record: backing_services.LogRecord) -> None:
        """Evaluates one record of the stream."""
        record, status = self.tracker.apply(log_record)
        if self.outcome is not None or record.publication != self.publication:
            return
        if status is _configuration_versions.PublicationStatus.IN_FORCE:
            self.outcome = Accepted(log_record.offset)
        elif status is _configuration_versions.PublicationStatus.LOST_RACE:
            self.outcome = VersionConflict(self.tracker.in_force)
        elif status is _configuration_versions.PublicationStatus.DEFERRED:
            self.outcome = results.Failure(
                results.ResultCode.DOCUMENT_INVALID,
                'the version in force needs a newer release of siskinmount',
            )
        else:
            self.outcome = results.Failure(
                results.ResultCode.DOCUMENT_INVALID, 'the document is invalid'
            )


class ConfigurationStream:
    """Publishes configurations and follows the version in force."""

    __slots__ = (
        '_log',
        '_parse',
        '_grammar',
        '_grammar_of',
        '_retention_ms',
        '_is_carrier',
        '_clock_ms',
        '_tracker',
        '_version_changed',
        '_tail',
    )

    def __init__(
        self,
        log: backing_services.LogService,
        parse: _configuration_versions.Parse,
        grammar: int,
        grammar_of: Callable[[Any], int],
        retention_ms: int,
        is_carrier: Callable[[], bool],
        clock_ms: Callable[[], int],
    ) -> None:
        self._log = log
        self._parse = parse
        self._grammar = grammar
        self._grammar_of = grammar_of
        self._retention_ms = retention_ms
        self._is_carrier = is_carrier
        self._clock_ms = clock_ms
        self._tracker = self._create_tracker()
        self._version_changed = trio.Event()
        self._tail = _log_tail.LogTail(log, _stream_names.CONFIGURATION_STREAM)

    @property
    def in_force(self) -> _configuration_versions.ConfigurationVersion | None:
        """The newest version known to be in force."""
        return self._tracker.in_force

    @property
    def version(self) -> int:
        """Newest version known to be in force; 0 if there is none."""
        return self._tracker.version

    async def wait_newer(
        self, than_version: int
    ) -> _configuration_versions.ConfigurationVersion:
        """Waits until a version higher than a given one is in force."""
        while True:
            in_force = self._tracker.in_force
            if in_force is not None and in_force.version > than_version:
                return in_force
            await self._version_changed.wait()

    async def follow(
        self,
    ) -> AsyncIterator[_configuration_versions.ConfigurationVersion]:
        """Yields versions in force in increasing order; some may be skipped."""
        version = 0
        while True:
            in_force = await self.wait_newer(version)
            version = in_force.version
            yield in_force

    def adopt(
        self, version: int, text: str, publisher: str = '', grammar: int = 1
    ) -> bool:
        """Adopts a version that a peer has in force, if it is higher.

        Returns:
            Whether the version is now in force here.
        """
        before = self._tracker.version
        adopted = self._tracker.adopt(
            version,
            records_pb2.ConfigurationRecord(
                publisher=publisher, grammar=grammar, text=text.encode('utf-8')
            ),
        )
        self._notify_if_changed(before)
        return adopted

    async def run(self) -> None:
        """Follows the stream and carries the version in force forward."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tail.follow, self._apply)
            nursery.start_soon(self._carry_forward)

    async def publish(
        self, text: str, base_version: int, publisher: str
    ) -> Accepted | VersionConflict | results.Failure:
        """Publishes a document that was edited from a base version.

        Args:
            text: The document.
            base_version: Version that the publisher edited; 0 for the first.
            publisher: Name of the publisher.

        Returns:
            The accepted version, or the conflicting version in force, or a
            failure. The failure has run state `UNKNOWN` if the log did not
            confirm the outcome in time.
        """
        document = self._parse(text)
        if isinstance(document, results.Failure):
            return document
        record = records_pb2.ConfigurationRecord(
            base_version=base_version,
            publisher=publisher,
            publication=uuid.uuid4().hex,
            grammar=self._grammar_of(document),
            text=text.encode('utf-8'),
            written_at_ms=self._clock_ms(),
        )
        watcher = _PublicationWatcher(
            record.publication, self._create_tracker()
        )
        attempt = _PublishAttempt(self._log, watcher, record)
        with trio.move_on_after(PUBLISH_TIMEOUT_MS / 1000):
            return await attempt.run()
        return attempt.create_timeout_failure()

    def _create_tracker(self) -> _configuration_versions.VersionTracker:
        return _configuration_versions.VersionTracker(
            self._parse, self._grammar
        )

    def _apply(self, log_record: backing_services.LogRecord) -> None:
        """Evaluates one record and wakes tasks that wait for a version."""
        before = self._tracker.version
        _, status = self._tracker.apply(log_record)
        if status is _configuration_versions.PublicationStatus.DEFERRED:
            _LOGGER.error(
                'configuration_needs_newer_release',
                extra={
                    'code': int(results.ResultCode.DOCUMENT_INVALID),
                    'offset': log_record.offset,
                },
            )
        self._notify_if_changed(before)

    def _notify_if_changed(self, before: int) -> None:
        """Wakes waiting tasks if the version has changed."""
        version = self._tracker.version
        if version == before:
            return
        if version < before:
            _LOGGER.critical(
                'invariant_broken',
                extra={
                    'code': int(results.ResultCode.INVARIANT_BROKEN),
                    'invariant': 'configuration versions only increase',
                },
            )
            raise AssertionError(
                f'configuration version decreased from {before} to {version}'
            )
        _LOGGER.info('configuration_in_force', extra={'version': version})
        version_changed, self._version_changed = (
            self._version_changed,
            trio.Event(),
        )
        version_changed.set()

    async def _carry_forward(self) -> None:
        """Appends the version in force again before its record expires."""
        while True:
            await trio.sleep(CARRY_CHECK_INTERVAL_MS / 1000)
            record = self._record_to_carry()
            if record is None:
                continue
            await self._log.append(
                _stream_names.CONFIGURATION_STREAM, record.SerializeToString()
            )

    def _record_to_carry(self) -> records_pb2.ConfigurationRecord | None:
        """Returns a copy of the version in force if one is due, or None."""
        in_force = self._tracker.in_force
        if in_force is None or not self._tail.is_at_tail:
            return None
        age_ms = self._clock_ms() - self._tracker.written_at_ms
        is_due = (
            age_ms >= self._retention_ms // 2
            or self._tracker.newest_offset < self._tail.ageing_below
        )
        if not is_due or not self._is_carrier():
            return None
        return records_pb2.ConfigurationRecord(
            base_version=in_force.base_version,
            publisher=in_force.publisher,
            publication=in_force.publication,
            grammar=in_force.grammar,
            text=in_force.text.encode('utf-8'),
            written_at_ms=self._clock_ms(),
            carried_version=in_force.version,
        )


class _PublishAttempt:
    """Appends one publication to the log and reads back the outcome."""

    __slots__ = ('_log', '_watcher', '_record', '_tail', '_is_sent')

    def __init__(
        self,
        log: backing_services.LogService,
        watcher: _PublicationWatcher,
        record: records_pb2.ConfigurationRecord,
    ) -> None:
        self._log = log
        self._watcher = watcher
        self._record = record
        self._tail = _log_tail.LogTail(log, _stream_names.CONFIGURATION_STREAM)
        self._is_sent = False

    async def run(self) -> Accepted | VersionConflict | results.Failure:
        """Appends the publication, with retries, and reads back the outcome.

        Every retry has the same publication identifier.
        """
        backoff = _backoff.Backoff(
            _log_tail.FIRST_BACKOFF_MS, _log_tail.MAX_BACKOFF_MS
        )
        await self._read_to_tail(backoff)
        data = self._record.SerializeToString()
        while True:
            answer = await self._log.append(
                _stream_names.CONFIGURATION_STREAM, data
            )
            if isinstance(answer, backing_services.Appended):
                self._is_sent = True
                break
            if answer.run_state is not results.RunState.NOT_RUN:
                self._is_sent = True
            if answer.code is results.ResultCode.LOG_RECORD_INVALID:
                return answer
            await backoff.pause(answer.retry_after_ms)
        return await self._wait_evaluated(backoff)

    async def _read_to_tail(self, backoff: _backoff.Backoff) -> None:
        """Reads to the tail to find out whether any version is in force."""
        while True:
            stored = await self._log.stream_range(
                _stream_names.CONFIGURATION_STREAM
            )
            if not isinstance(stored, results.Failure):
                break
            await backoff.pause(stored.retry_after_ms)
        while self._tail.next_offset < stored.next_offset:
            failure = await self._tail.read_once(self._watcher.apply, 0)
            if failure is not None:
                await backoff.pause(failure.retry_after_ms)
        tracker = self._watcher.tracker
        if (
            self._record.base_version == 0
            and tracker.version == 0
            and not tracker.is_history_known
            and stored.next_offset > 1
        ):
            self._record.none_before_offset = self._tail.next_offset

    def create_timeout_failure(self) -> results.Failure:
        """Returns the failure to report when the publication times out."""
        if not self._is_sent:
            return results.Failure(
                results.ResultCode.LOG_UNAVAILABLE, 'the log is unavailable'
            )
        return results.Failure(
            results.ResultCode.LOG_APPEND_UNKNOWN,
            'the log did not confirm in time whether the document is in force',
            results.RunState.UNKNOWN,
        )

    async def _wait_evaluated(
        self, backoff: _backoff.Backoff
    ) -> Accepted | VersionConflict | results.Failure:
        """Reads the stream until the publication has been evaluated."""
        while self._watcher.outcome is None:
            failure = await self._tail.read_once(self._watcher.apply, 0)
            if failure is not None:
                await backoff.pause(failure.retry_after_ms)
        return self._watcher.outcome


def create_configuration_stream(
    log: backing_services.LogService,
    parse: _configuration_versions.Parse,
    *,
    grammar: int = 1,
    grammar_of: Callable[[Any], int] | None = None,
    retention_ms: int = DEFAULT_RETENTION_MS,
    is_carrier: Callable[[], bool] | None = None,
    clock_ms: Callable[[], int] = _state_stream.wall_clock_ms,
) -> ConfigurationStream:
    """Creates the configuration stream of this process.

    Args:
        log: The platform's log.
        parse: Parses and checks a document; returns the parsed document or a
            `results.Failure`. Its result for a text of one grammar must never
            change from release to release.
        grammar: Newest version of the document's rules that `parse` knows.
        grammar_of: Returns the version of the rules that a parsed document
            targets, so that older releases that know these rules can evaluate
            it; `grammar` if None.
        retention_ms: How long the log keeps a record.
        is_carrier: Whether this process carries versions forward; always if
            None.
        clock_ms: Milliseconds since the Unix epoch.
    """
    return ConfigurationStream(
        log,
        parse,
        grammar,
        grammar_of or (lambda document: grammar),
        retention_ms,
        is_carrier or (lambda: True),
        clock_ms,
    )
