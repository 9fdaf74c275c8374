"""What the sidecar needs from the upstream beside it."""

from typing import Protocol

from siskinmount import relay
from siskinmount import results
from siskinmount.sidecar import _run_request


class UpstreamStream(Protocol):
    """An answer that an upstream is giving."""

    async def receive(self) -> list[relay.Frame] | results.Failure:
        """Returns the next frames; the last one of all is an `EndFrame`.

        After a failure with code `UPSTREAM_SILENT` it may be called again.
        """
        ...

    def close(self) -> None:
        """Gives the connection up."""
        ...


class LivenessConnection(Protocol):
    """Shows whether the upstream's process has ended.

    Attributes:
        opened_at_s: Monotonic time at which the process was found running.
    """

    opened_at_s: float

    def has_closed(self) -> bool:
        """Tells whether the process has ended."""
        ...

    def close(self) -> None:
        """Gives the witness up."""
        ...


class MonitoredUpstream(Protocol):
    """An upstream whose health can be asked for."""

    async def probe(self) -> results.Failure | None:
        """Returns None if the upstream answers on a new connection."""
        ...

    async def open_liveness_connection(
        self,
    ) -> LivenessConnection | results.Failure:
        """Returns a witness of the process that runs now."""
        ...


class ModelUpstream(MonitoredUpstream, Protocol):
    """A model engine."""

    async def start(
        self,
        request_id: str,
        body: _run_request.ModelBody,
        resume_tokens: list[str],
    ) -> UpstreamStream | results.Failure:
        """Starts to generate after `resume_tokens`."""
        ...

    async def cancel(self, request_id: str) -> results.Failure | None:
        """Makes the engine stop a request; None once it has."""
        ...


class PlainUpstream(MonitoredUpstream, Protocol):
    """A plain service."""

    async def start(
        self, request_id: str, body: _run_request.PlainBody
    ) -> UpstreamStream | results.Failure:
        """Sends the request once."""
        ...
