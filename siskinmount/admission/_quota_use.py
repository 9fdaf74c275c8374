"""What a member tells its peers of the requests of one customer."""


class QuotaUse:
    """Requests of a customer at one member.

    Attributes:
        count: Admitted requests since the start of the process, without those
            whose token was given back.
        recent_count: How many of them in the last `RECENT_S`.
        asked_count: Requests since the start of the process, admitted or not.
    """

    __slots__ = ('count', 'recent_count', 'asked_count')

    def __init__(self, count: int, recent_count: int, asked_count: int) -> None:
        self.count = count
        self.recent_count = recent_count
        self.asked_count = asked_count
