"""The active configuration of an entry."""

from collections.abc import Callable
import logging

from siskinmount import configuration
from siskinmount import results
from siskinmount import state

_LOGGER = logging.getLogger(__name__)

ConfigurationListener = Callable[[configuration.ServiceDocument, int], None]


class ActiveConfiguration:
    """Holds the newest valid document; its version never decreases.

    Attributes:
        stream: The configuration stream to read documents from.
        version: Active version; 0 before the first document.
        document: Active document, or None before the first.
    """

    __slots__ = ('stream', 'version', 'document', '_listeners')

    def __init__(self, stream: state.ConfigurationStream) -> None:
        self.stream = stream
        self.version = 0
        self.document: configuration.ServiceDocument | None = None
        self._listeners: list[ConfigurationListener] = []

    def add_listener(self, listener: ConfigurationListener) -> None:
        """Adds a listener, called with each new document and its version."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Applies documents from the log and from peers until cancelled."""
        while True:
            newer = await self.stream.wait_newer(self.version)
            if not isinstance(newer.document, configuration.ServiceDocument):
                raise TypeError('expected a service document on the stream')
            if newer.version <= self.version:
                raise AssertionError('configuration version did not increase')
            self.version = newer.version
            self.document = newer.document
            _LOGGER.info(
                'configuration_in_force', extra={'version': newer.version}
            )
            for listener in self._listeners:
                listener(newer.document, newer.version)


def parse_published_text(
    text: str,
) -> configuration.ServiceDocument | results.Failure:
    """Parses a document from the stream."""
    document = configuration.parse_document(text)
    if isinstance(document, list):
        return results.Failure(
            results.ResultCode.DOCUMENT_INVALID,
            f'the document has {len(document)} errors',
        )
    return document
