"""Control calls between daemons: a gRPC client and server for trio."""

from siskinmount.rpc._control_client import ControlClient
from siskinmount.rpc._control_client import create_control_client
from siskinmount.rpc._control_handlers import ControlHandlers
from siskinmount.rpc._control_server import ControlServer
from siskinmount.rpc._control_server import create_control_server
from siskinmount.rpc._deadlines import ControlDeadlines
from siskinmount.rpc.control_pb2 import Backlog
from siskinmount.rpc.control_pb2 import ConfigurationReply
from siskinmount.rpc.control_pb2 import ConfigurationRequest
from siskinmount.rpc.control_pb2 import HeartbeatReply
from siskinmount.rpc.control_pb2 import HeartbeatRequest
from siskinmount.rpc.control_pb2 import HistogramsReply
from siskinmount.rpc.control_pb2 import HistogramsRequest
from siskinmount.rpc.control_pb2 import Member
from siskinmount.rpc.control_pb2 import StatusReply
from siskinmount.rpc.control_pb2 import StatusRequest
from siskinmount.rpc.control_pb2 import UpstreamDeath
from siskinmount.rpc.control_pb2 import WindowedHistogram
