"""What a daemon implements to answer control calls."""

from typing import Protocol

from siskinmount import results
from siskinmount.rpc import control_pb2


class ControlHandlers(Protocol):
    """Answers control calls. Each method runs as a trio task."""

    async def heartbeat(
        self, request: control_pb2.HeartbeatRequest
    ) -> control_pb2.HeartbeatReply | results.Failure:
        """Takes note of the sender and tells what this daemon is."""
        ...

    async def get_configuration(
        self, request: control_pb2.ConfigurationRequest
    ) -> control_pb2.ConfigurationReply | results.Failure:
        """Returns the configuration in force here."""
        ...

    async def get_status(
        self, request: control_pb2.StatusRequest
    ) -> control_pb2.StatusReply | results.Failure:
        """Returns what this daemon knows, for operators."""
        ...

    async def get_histograms(
        self, request: control_pb2.HistogramsRequest
    ) -> control_pb2.HistogramsReply | results.Failure:
        """Returns this daemon's histograms, for the burn report."""
        ...
