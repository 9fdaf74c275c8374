"""Publishes configuration documents that race each other."""

import time

import trio

from siskinmount import backing_services
from siskinmount import configuration
from siskinmount import results
from siskinmount import state
from siskinmount import transport
from tools.chaos import _observations


class Publisher:
    """Publishes pairs of conflicting documents on the newest version.

    Attributes:
        newest_version: Version of the newest accepted document.
    """

    __slots__ = (
        'newest_version',
        '_log_address',
        '_text',
        '_observations',
        '_count',
    )

    def __init__(
        self,
        log_address: transport.Address,
        text: str,
        first_version: int,
        observations: _observations.Observations,
    ) -> None:
        self.newest_version = first_version
        self._log_address = log_address
        self._text = text
        self._observations = observations
        self._count = 0

    async def publish_race(self) -> None:
        """Publishes two documents concurrently on one base version."""
        base_version = self.newest_version
        self._count += 1
        async with trio.open_nursery() as nursery:
            for name in ('first', 'second'):
                nursery.start_soon(self._publish, name, base_version)

    async def _publish(self, name: str, base_version: int) -> None:
        text = f'{self._text}\n# edit {self._count} by {name}\n'
        stream = state.create_configuration_stream(
            backing_services.create_log_client(self._log_address), _parse
        )
        outcome = await stream.publish(text, base_version, name)
        if isinstance(outcome, state.Accepted):
            self.newest_version = max(self.newest_version, outcome.version)
            self._observations.publications.append(
                _observations.Publication(
                    outcome.version, base_version, time.monotonic()
                )
            )
        if (
            isinstance(outcome, state.VersionConflict)
            and outcome.winner is not None
        ):
            self.newest_version = max(
                self.newest_version, outcome.winner.version
            )


def _parse(text: str) -> configuration.ServiceDocument | results.Failure:
    document = configuration.parse_document(text)
    if isinstance(document, list):
        return results.Failure(
            results.ResultCode.DOCUMENT_INVALID, str(document)
        )
    return document
