"""Names of the headers on requests between entries and sidecars."""


class RelayHeader:
    """Header names, lower case."""

    #: Identifies the request; a second POST with it attaches to the first.
    REQUEST_ID = b'x-request-id'

    #: Number of this attempt, from 1.
    ATTEMPT = b'x-attempt'

    #: Milliseconds until the request's deadline.
    DEADLINE_MS = b'x-deadline-ms'

    #: `online` or `batch`.
    CLASS = b'x-class'

    #: Hash of service and content, for attribution of upstream crashes.
    FINGERPRINT = b'x-fingerprint'

    #: Index of the first token that the reader still needs.
    FROM_TOKEN = b'x-from-token'

    #: `1` if no other request may run beside this one.
    SOLO = b'x-solo'

    #: `1` if the request must not be started, only attached to.
    ATTACH_ONLY = b'x-attach-only'

    #: Caller identity that the first entry has authenticated.
    CALLER = b'x-caller'

    #: Requests in flight at the sidecar, on each answer.
    IN_FLIGHT = b'x-in-flight'

    #: Slots of the sidecar's upstream, on each answer.
    SLOTS = b'x-slots'

    #: Name of the answering VM.
    VM = b'x-vm'

    #: Incarnation of the answering process.
    INCARNATION = b'x-incarnation'
