"""Interface that a daemon implements to serve control calls."""

from typing import Protocol

from siskinmount import results
from siskinmount.rpc import control_pb2


class ControlHandlers(Protocol):
    """Handlers of control calls; each call runs as a trio task."""

    async def heartbeat(
        self, request: control_pb2.HeartbeatRequest
    ) -> control_pb2.HeartbeatReply | results.Failure:
        """Records the sender and returns the description of this daemon."""
        ...

    async def get_configuration(
        self, request: control_pb2.ConfigurationRequest
    ) -> control_pb2.ConfigurationReply | results.Failure:
        """Returns the configuration that this daemon currently uses."""
        ...

    async def get_status(
        self, request: control_pb2.StatusRequest
    ) -> control_pb2.StatusReply | results.Failure:
        """Returns this daemon's status and known members, for operators."""
        ...

    async def get_histograms(
        self, request: control_pb2.HistogramsRequest
    ) -> control_pb2.HistogramsReply | results.Failure:
        """Returns this daemon's histograms, for the burn report."""
        ...
