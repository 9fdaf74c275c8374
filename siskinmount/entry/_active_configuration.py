"""The configuration that this entry serves by."""

from collections.abc import Callable
import logging

from siskinmount import configuration
from siskinmount import results
from siskinmount import state

_LOGGER = logging.getLogger(__name__)

ConfigurationListener = Callable[[configuration.ServiceDocument, int], None]


class ActiveConfiguration:
    """Holds the newest valid document; its version only ever rises.

    Attributes:
        stream: The configuration stream that it follows.
        version: Version in force; 0 before the first.
        document: Document in force, or None before the first.
    """

    __slots__ = ('stream', 'version', 'document', '_listeners')

    def __init__(self, stream: state.ConfigurationStream) -> None:
        self.stream = stream
        self.version = 0
        self.document: configuration.ServiceDocument | None = None
        self._listeners: list[ConfigurationListener] = []

    def add_listener(self, listener: ConfigurationListener) -> None:
        """Calls the listener with each new document and its version."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Follows the stream and what peers pass on, for ever."""
        while True:
            newer = await self.stream.wait_newer(self.version)
            if not isinstance(newer.document, configuration.ServiceDocument):
                raise TypeError('the stream holds no service document')
            if newer.version <= self.version:
                raise AssertionError('a configuration version went back')
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
            f'the document has {len(document)} faults',
        )
    return document
