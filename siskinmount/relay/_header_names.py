"""Names of the HTTP headers between entries and sidecars."""


class RelayHeader:
    """Header names in lower case."""

    #: Identifies the request; a second POST with the same ID attaches to it.
    REQUEST_ID = b'x-request-id'

    #: Number of this attempt, from 1.
    ATTEMPT = b'x-attempt'

    #: Milliseconds until the request's deadline.
    DEADLINE_MS = b'x-deadline-ms'

    #: `online` or `batch`.
    CLASS = b'x-class'

    #: Digest of service and content, to attribute upstream crashes to requests.
    FINGERPRINT = b'x-fingerprint'

    #: Index of the first token that the reader has not received.
    FROM_TOKEN = b'x-from-token'

    #: `1` if no other request may run concurrently with this one.
    SOLO = b'x-solo'

    #: `1` to attach to a running request without starting a new one.
    ATTACH_ONLY = b'x-attach-only'

    #: Caller identity, as authenticated by the first entry.
    CALLER = b'x-caller'

    #: Number of requests in flight at the sidecar, on each response.
    IN_FLIGHT = b'x-in-flight'

    #: Slots of the sidecar's upstream, on each response.
    SLOTS = b'x-slots'

    #: Name of the responding VM.
    VM = b'x-vm'

    #: Incarnation of the responding process.
    INCARNATION = b'x-incarnation'

    #: Software version that the engine of the VM was last seen to run.
    SOFTWARE_VERSION = b'x-software-version'
