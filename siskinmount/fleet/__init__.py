"""This process's view of the document in force and of the upstreams."""

from siskinmount.fleet._announced_departures import DepartureNotice
from siskinmount.fleet._document import CallerLimits
from siskinmount.fleet._document import FleetDocument
from siskinmount.fleet._document import FleetRoute
from siskinmount.fleet._document import FleetService
from siskinmount.fleet._document import RouteKind
from siskinmount.fleet._document import ServiceShare
from siskinmount.fleet._fleet_view import create_fleet_view
from siskinmount.fleet._fleet_view import FleetView
from siskinmount.fleet._software import Software
from siskinmount.fleet._upstream import Upstream
from siskinmount.fleet._upstream import UpstreamState
