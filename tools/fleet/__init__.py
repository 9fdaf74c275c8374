"""Plans and runs a small fleet of stand-ins, entries and sidecars."""

from tools.fleet._callers import Caller
from tools.fleet._callers import create_callers
from tools.fleet._daemon_settings_text import format_entry_settings
from tools.fleet._daemon_settings_text import format_sidecar_settings
from tools.fleet._document_text import format_document
from tools.fleet._fleet import Fleet
from tools.fleet._fleet import open_fleet
from tools.fleet._fleet_plan import EntryPlan
from tools.fleet._fleet_plan import FleetPlan
from tools.fleet._fleet_plan import plan_fleet
from tools.fleet._fleet_plan import SidecarPlan
from tools.fleet._publishing import publish_document
