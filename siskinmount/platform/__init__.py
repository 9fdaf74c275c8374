"""The adapter to the users' platform: names, formats and calls.

Nothing here decides, and nothing outside this package knows a name of the
platform. docs/GLOSSARY.md gives the platform's words and ours.

Public API:
    create_store(address, metrics): The platform's log as `keyed_log`s.
    DOCUMENT_TOPIC, UPSTREAMS_TOPIC: Logs that the platform writes.
    decode_document(source), decode_upstream(id, source): Their records.
    create_wire(): A `gateway.Wire` of requests, answers and batch calls.
"""

from siskinmount.platform._fleet_codec import decode_document
from siskinmount.platform._fleet_codec import decode_upstream
from siskinmount.platform._store import create_store
from siskinmount.platform._store import DOCUMENT_TOPIC
from siskinmount.platform._store import Store
from siskinmount.platform._store import UPSTREAMS_TOPIC
from siskinmount.platform._wire import create_wire
from siskinmount.platform._wire import PlatformWire
