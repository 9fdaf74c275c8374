"""Interfaces of the sidecar's upstream."""

from typing import Protocol

from siskinmount import relay
from siskinmount import results
from siskinmount.sidecar import _run_request


class UpstreamStream(Protocol):
    """Streamed answer of an upstream."""

    async def receive(self) -> list[relay.Frame] | results.Failure:
        """Returns the next frames; the last one of the answer is an `EndFrame`.

        After a failure with code `UPSTREAM_SILENT` this may be called again.
        """
        ...

    def close(self) -> None:
        """Closes the connection."""
        ...


class ModelStream(UpstreamStream, Protocol):
    """Tokens of a model engine.

    Attributes:
        software_version: Version of the software that writes them; empty if the
            response names none.
    """

    software_version: str


class LivenessConnection(Protocol):
    """Connection that shows whether the upstream's process has exited.

    Attributes:
        opened_at_s: Monotonic time at which the connection was opened.
    """

    opened_at_s: float

    def has_closed(self) -> bool:
        """Returns whether the process has exited."""
        ...

    def close(self) -> None:
        """Closes this side of the connection."""
        ...


class MonitoredUpstream(Protocol):
    """An upstream that the monitor can probe."""

    async def probe(self) -> results.Failure | None:
        """Returns None if the upstream answers on a new connection."""
        ...

    async def open_liveness_connection(
        self,
    ) -> LivenessConnection | results.Failure:
        """Opens a liveness connection to the running process."""
        ...


class ModelUpstream(MonitoredUpstream, Protocol):
    """A model engine."""

    async def start(
        self,
        request_id: str,
        body: _run_request.ModelBody,
        resume_tokens: list[str],
    ) -> ModelStream | results.Failure:
        """Starts to generate after `resume_tokens`."""
        ...

    async def cancel(self, request_id: str) -> results.Failure | None:
        """Cancels a request; returns None once the engine has stopped it."""
        ...


class PlainUpstream(MonitoredUpstream, Protocol):
    """A plain service."""

    async def start(
        self, request_id: str, body: _run_request.PlainBody
    ) -> UpstreamStream | results.Failure:
        """Sends the request once and returns its answer."""
        ...
