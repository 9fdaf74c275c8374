"""Adapter to the users' platform: names, formats and calls.

The package only translates and makes no decisions. Names of the platform occur
nowhere else; docs/GLOSSARY.md maps them to the terms of this code.

Public API:
    create_store(address, metrics): Client of the store; opens `KeyedLog`s.
    DOCUMENT_TOPIC, UPSTREAMS_TOPIC: Topics that the platform writes.
    decode_document(source), decode_upstream(id, source): Decode their records.
    create_wire(): Creates the `gateway.Wire` of requests and batch calls.
"""

from siskinmount.platform._fleet_codec import decode_document
from siskinmount.platform._fleet_codec import decode_upstream
from siskinmount.platform._store import create_store
from siskinmount.platform._store import DOCUMENT_TOPIC
from siskinmount.platform._store import Store
from siskinmount.platform._store import UPSTREAMS_TOPIC
from siskinmount.platform._wire import create_wire
from siskinmount.platform._wire import PlatformWire
