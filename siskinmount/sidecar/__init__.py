"""The sidecar daemon: admission, request execution, engine orders, batch."""

from siskinmount.sidecar._gate import create_gate
from siskinmount.sidecar._gate import Gate
from siskinmount.sidecar._gate_load import GateLoad
from siskinmount.sidecar._gate_load import Ticket
from siskinmount.sidecar._gate_policy import GatePolicy
from siskinmount.sidecar._run_request import ModelBody
from siskinmount.sidecar._run_request import PlainBody
from siskinmount.sidecar._run_request import RunRequest
from siskinmount.sidecar._sidecar import run_sidecar
from siskinmount.sidecar._sidecar import Sidecar
from siskinmount.sidecar._upstreams import ModelUpstream
from siskinmount.sidecar._upstreams import PlainUpstream
from siskinmount.sidecar._upstreams import UpstreamStream
