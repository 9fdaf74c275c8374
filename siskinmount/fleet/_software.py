"""The software that an upstream runs."""


class Software:
    """A version of a service's software; versions have no order.

    What two versions write does not fit together, so a stream may go on only at
    an upstream that runs the same software.

    Attributes:
        service: Name of the service.
        version: The version. An upstream whose version is unknown has one of
            its own, which no other process shares.
    """

    __slots__ = ('service', 'version')

    def __init__(self, service: str, version: str) -> None:
        self.service = service
        self.version = version

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Software):
            return NotImplemented
        return self.service == other.service and self.version == other.version

    def __hash__(self) -> int:
        return hash((self.service, self.version))

    def __str__(self) -> str:
        return f'{self.service} {self.version}'
