"""HTTP/1.1 server and client on top of h11 and trio."""

from siskinmount.transport._address import Address
from siskinmount.transport._address import parse_address
from siskinmount.transport._body_framing import BodyFraming
from siskinmount.transport._client_exchange import ClientExchange
from siskinmount.transport._client_exchange import ClientRequest
from siskinmount.transport._client_exchange import find_request_fault
from siskinmount.transport._connection_probe import probe_connection
from siskinmount.transport._connection_probe import ProbeOutcome
from siskinmount.transport._event_splitter import create_event_splitter
from siskinmount.transport._event_splitter import EventSplitter
from siskinmount.transport._event_splitter import is_stream_complete
from siskinmount.transport._event_splitter import StreamEnd
from siskinmount.transport._event_splitter import StreamEvent
from siskinmount.transport._headers import find_header
from siskinmount.transport._headers import Headers
from siskinmount.transport._headers import retry_headers
from siskinmount.transport._http_client import create_http_client
from siskinmount.transport._http_client import HttpClient
from siskinmount.transport._http_server import create_http_server
from siskinmount.transport._http_server import HttpServer
from siskinmount.transport._limits import ClientLimits
from siskinmount.transport._limits import ServerLimits
from siskinmount.transport._listen_failure import run_listening
from siskinmount.transport._server_exchange import RequestHead
from siskinmount.transport._server_exchange import ServerExchange
from siskinmount.transport._server_process import ServerProcess
