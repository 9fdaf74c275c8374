"""Notes responses in which upstreams announce that they leave."""

from siskinmount import fleet
from siskinmount import placement
from siskinmount import transport
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _wire


class DepartureReader:
    """Reads the head of each response of an upstream."""

    __slots__ = ('_wire', '_view', '_load', '_metrics')

    def __init__(
        self,
        wire: _wire.Wire,
        view: fleet.FleetView,
        load: placement.LoadTable,
        metrics: _gateway_metrics.GatewayMetrics,
    ) -> None:
        self._wire = wire
        self._view = view
        self._load = load
        self._metrics = metrics

    def read(
        self,
        upstream: fleet.Upstream,
        response: transport.ClientExchange,
        request_id: str,
    ) -> None:
        """Records the departure that a response announces, if it does.

        Args:
            upstream: The upstream to which the request was sent.
            response: Its response, of which the head has been read.
            request_id: Id of the request or batch item.
        """
        if not self._wire.announces_departure(
            response.status, response.headers, request_id
        ):
            return
        if not self._view.record_departure(upstream, request_id):
            return
        self._metrics.departures.increment()
        # A new version makes the next message to peers go out at once.
        self._load.version += 1


def create_departure_reader(
    wire: _wire.Wire,
    view: fleet.FleetView,
    load: placement.LoadTable,
    metrics: _gateway_metrics.GatewayMetrics,
) -> DepartureReader:
    """Creates a reader that records departures in the view."""
    return DepartureReader(wire, view, load, metrics)
