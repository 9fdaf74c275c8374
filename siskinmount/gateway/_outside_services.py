"""Services that the platform provides to the gateway."""

from collections.abc import Callable

from siskinmount import fleet
from siskinmount import keyed_log
from siskinmount import results
from siskinmount.gateway import _wire


class OutsideServices:
    """Services that the platform provides to the gateway.

    Attributes:
        document_log: Log of the fleet document (routes, services, limits).
        upstreams_log: Log of the entries of upstreams.
        members_log: Log of the fleet's members.
        jobs_log: Log of the batch jobs.
        quarantine_log: Log of the parts of prompts in quarantine.
        versions_log: Log of the versions at which streams without a record
            began, by service.
        origins_log: Log of what began streams.
        wire: Reads and writes headers and bodies.
        decode_document: Decodes a record that holds the document.
        decode_upstream: Decodes an upstream's entry.
    """

    __slots__ = (
        'document_log',
        'upstreams_log',
        'members_log',
        'jobs_log',
        'quarantine_log',
        'versions_log',
        'origins_log',
        'wire',
        'decode_document',
        'decode_upstream',
    )

    def __init__(
        self,
        *,
        document_log: keyed_log.EndReadableLog,
        upstreams_log: keyed_log.KeyedLog,
        members_log: keyed_log.KeyedLog,
        jobs_log: keyed_log.KeyedLog,
        quarantine_log: keyed_log.KeyedLog,
        versions_log: keyed_log.KeyedLog,
        origins_log: keyed_log.KeyedLog,
        wire: _wire.Wire,
        decode_document: Callable[
            [bytes], fleet.FleetDocument | results.Failure
        ],
        decode_upstream: Callable[
            [str, bytes], fleet.Upstream | results.Failure
        ],
    ) -> None:
        self.document_log = document_log
        self.upstreams_log = upstreams_log
        self.members_log = members_log
        self.jobs_log = jobs_log
        self.quarantine_log = quarantine_log
        self.versions_log = versions_log
        self.origins_log = origins_log
        self.wire = wire
        self.decode_document = decode_document
        self.decode_upstream = decode_upstream
