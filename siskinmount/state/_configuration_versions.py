"""Decides which published configuration version is in force."""

from collections.abc import Callable
import enum

from google.protobuf import message

from siskinmount import backing_services
from siskinmount import results
from siskinmount.state import records_pb2

Parse = Callable[[str], object]


class PublicationStatus(enum.Enum):
    """Effect of a record of the configuration stream."""

    #: The document of the record is in force from here on.
    IN_FORCE = 'in_force'

    #: The base version of the publication is not in force.
    LOST_RACE = 'lost_race'

    #: The record or its document is invalid.
    INVALID = 'invalid'

    #: The offset precedes the version in force, which a peer reported.
    SUPERSEDED = 'passed'

    #: The document, or one before it, needs a newer release to be evaluated.
    DEFERRED = 'not_judged'

    #: The record is a copy that carries a version forward, so that the version
    #: outlives the retention of its original record.
    CARRIED = 'carried'


class ConfigurationVersion:
    """A document that is or was in force.

    Attributes:
        version: Offset of the record that was accepted; 0 before the first.
        text: The document.
        document: The parsed document; None before the first.
        publisher: Who published the version.
        base_version: Version that the publisher edited.
        grammar: Version of the validation rules that the document targets.
        publication: Identifier that the publisher gave the publication.
    """

    __slots__ = (
        'version',
        'text',
        'document',
        'publisher',
        'base_version',
        'grammar',
        'publication',
    )

    def __init__(
        self,
        version: int,
        document: object,
        record: records_pb2.ConfigurationRecord,
    ) -> None:
        self.version = version
        self.text = record.text.decode('utf-8')
        self.document = document
        self.publisher = record.publisher
        self.base_version = record.base_version
        self.grammar = record.grammar
        self.publication = record.publication


class VersionTracker:
    """Evaluates the records of the configuration stream in offset order.

    All processes reach the same results: a result follows from the stream
    and from the rules of the document's grammar, which no release changes. A
    process that does not know a grammar defers all later records until a
    process that knows it carries a version forward. A reader that starts after
    records have expired also defers publications; once it has read a carried
    version, it evaluates those that follow that version.

    Attributes:
        in_force: The newest version in force, or None.
        newest_offset: Offset of the newest record that holds this version.
        written_at_ms: When that record was written, in milliseconds since the
            Unix epoch.
    """

    __slots__ = (
        'in_force',
        'newest_offset',
        'written_at_ms',
        '_parse',
        '_grammar',
        '_is_blocked',
        '_is_history_known',
        '_deferred',
    )

    def __init__(self, parse: Parse, grammar: int) -> None:
        self.in_force: ConfigurationVersion | None = None
        self.newest_offset = 0
        self.written_at_ms = 0
        self._parse = parse
        self._grammar = grammar
        self._is_blocked = False
        self._is_history_known = False
        self._deferred: list[tuple[int, records_pb2.ConfigurationRecord]] = []

    @property
    def is_history_known(self) -> bool:
        """Whether no version in force can have expired before it was read."""
        return self._is_history_known

    @property
    def version(self) -> int:
        """Version in force; 0 if there is none."""
        return 0 if self.in_force is None else self.in_force.version

    def apply(
        self, log_record: backing_services.LogRecord
    ) -> tuple[records_pb2.ConfigurationRecord, PublicationStatus]:
        """Evaluates one record."""
        if log_record.offset == 1:
            self._is_history_known = True
        record = records_pb2.ConfigurationRecord()
        try:
            record.ParseFromString(log_record.data)
        except message.DecodeError:
            return record, PublicationStatus.INVALID
        if record.carried_version:
            self._apply_carried(record, log_record.offset)
            return record, PublicationStatus.CARRIED
        status = self._evaluate(record, log_record.offset)
        if status is PublicationStatus.DEFERRED or (
            status is PublicationStatus.LOST_RACE and not self._is_history_known
        ):
            self._deferred.append((log_record.offset, record))
        return record, status

    def adopt(
        self, version: int, record: records_pb2.ConfigurationRecord
    ) -> bool:
        """Adopts a version that a peer has in force; True if it is newer."""
        if version <= self.version or record.grammar > self._grammar:
            return False
        document = self._parse_text(record)
        if isinstance(document, results.Failure):
            return False
        self.in_force = ConfigurationVersion(version, document, record)
        self._is_blocked = False
        self._is_history_known = True
        deferred, self._deferred = self._deferred, []
        for offset, later in deferred:
            status = self._evaluate(later, offset)
            if status is PublicationStatus.DEFERRED:
                self._deferred.append((offset, later))
        return True

    def _evaluate(
        self, record: records_pb2.ConfigurationRecord, offset: int
    ) -> PublicationStatus:
        """Evaluates a publication."""
        if offset <= self.version:
            return PublicationStatus.SUPERSEDED
        if self._is_blocked:
            return PublicationStatus.DEFERRED
        if not self._is_based_on_version_in_force(record):
            return PublicationStatus.LOST_RACE
        if record.grammar > self._grammar:
            self._is_blocked = True
            return PublicationStatus.DEFERRED
        document = self._parse_text(record)
        if isinstance(document, results.Failure):
            return PublicationStatus.INVALID
        self.in_force = ConfigurationVersion(offset, document, record)
        self._is_history_known = True
        self.newest_offset = offset
        self.written_at_ms = record.written_at_ms
        return PublicationStatus.IN_FORCE

    def _is_based_on_version_in_force(
        self, record: records_pb2.ConfigurationRecord
    ) -> bool:
        """Returns whether a publication is based on the version in force."""
        if record.none_before_offset:
            return self.version < record.none_before_offset
        if self.version == 0 and not self._is_history_known:
            return False
        return record.base_version == self.version

    def _apply_carried(
        self, record: records_pb2.ConfigurationRecord, offset: int
    ) -> None:
        """Applies a version that was appended again before it expired."""
        self.adopt(record.carried_version, record)
        if record.carried_version == self.version:
            self.newest_offset = offset
            self.written_at_ms = record.written_at_ms

    def _parse_text(
        self, record: records_pb2.ConfigurationRecord
    ) -> object | results.Failure:
        """Parses a record's document."""
        try:
            text = record.text.decode('utf-8')
        except UnicodeDecodeError as error:
            return results.Failure(
                results.ResultCode.DOCUMENT_INVALID, str(error)
            )
        return self._parse(text)
