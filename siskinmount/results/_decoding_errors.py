"""What the decoding of a document from outside may raise."""

#: Raised if a field is missing, or has another type or range than expected.
DECODING_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    IndexError,
    OverflowError,
)
