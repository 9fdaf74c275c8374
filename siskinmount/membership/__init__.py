"""Membership of daemons: heartbeats, failure detection and the VM list."""

from siskinmount.membership._entry_subset import choose_entries
from siskinmount.membership._heartbeat_observer import HeartbeatObserver
from siskinmount.membership._heartbeat_sender import create_heartbeat_sender
from siskinmount.membership._heartbeat_sender import HeartbeatSender
from siskinmount.membership._heartbeat_settings import HeartbeatSettings
from siskinmount.membership._member import Member
from siskinmount.membership._member import MemberRole
from siskinmount.membership._member import MemberState
from siskinmount.membership._member_message import decode_member
from siskinmount.membership._member_message import encode_member
from siskinmount.membership._member_record import SuspicionSource
from siskinmount.membership._member_table import create_member_table
from siskinmount.membership._member_table import MemberListener
from siskinmount.membership._member_table import MembershipChange
from siskinmount.membership._member_table import MemberTable
from siskinmount.membership._rendezvous import rank_by_rendezvous
from siskinmount.membership._vm_list_watcher import create_vm_list_watcher
from siskinmount.membership._vm_list_watcher import VmListWatcher
