"""Members of the fleet: liveness, and the state that they exchange."""

from siskinmount.peering._item_claims import ItemClaims
from siskinmount.peering._peer_directory import create_peer_directory
from siskinmount.peering._peer_directory import Peer
from siskinmount.peering._peer_directory import PeerDirectory
from siskinmount.peering._peer_exchange import create_peer_exchange
from siskinmount.peering._peer_exchange import PeerExchange
from siskinmount.peering._peer_message import decode_message
from siskinmount.peering._peer_message import encode_message
from siskinmount.peering._peer_message import PeerMessage
from siskinmount.peering._peer_message import split_row
from siskinmount.peering._quota_members import create_quota_members
from siskinmount.peering._quota_members import QuotaMembers
from siskinmount.peering._relay_plan import MAX_DIRECT_MEMBERS
from siskinmount.peering._relay_plan import plan_relays
from siskinmount.peering._relay_plan import RelayPlan
