"""The configuration that this entry serves by."""

from collections.abc import Callable
import logging

import trio

from siskinmount import configuration

_LOGGER = logging.getLogger(__name__)

ConfigurationListener = Callable[[configuration.ServiceDocument, int], None]


class ConfigurationInForce:
    """Holds the newest valid document; its version only ever rises.

    Attributes:
        version: Version in force; 0 before the first.
        document: Document in force, or None before the first.
    """

    __slots__ = ('version', 'document', '_listeners', '_changed')

    def __init__(self) -> None:
        self.version = 0
        self.document: configuration.ServiceDocument | None = None
        self._listeners: list[ConfigurationListener] = []
        self._changed = trio.Event()

    def add_listener(self, listener: ConfigurationListener) -> None:
        """Calls the listener with each new document and its version."""
        self._listeners.append(listener)

    def accept(self, version: int, text: str) -> bool:
        """Puts a document in force unless it is invalid or not newer."""
        if version <= self.version:
            return False
        document = configuration.parse_document(text)
        if isinstance(document, list):
            _LOGGER.error(
                'configuration_invalid',
                extra={'version': version, 'faults': len(document)},
            )
            return False
        self.version = version
        self.document = document
        _LOGGER.info('configuration_in_force', extra={'version': version})
        for listener in self._listeners:
            listener(document, version)
        self._changed.set()
        self._changed = trio.Event()
        return True

    async def wait_document(self) -> configuration.ServiceDocument:
        """Returns the document in force, as soon as there is one."""
        while self.document is None:
            await self._changed.wait()
        return self.document
