"""Chooses the relays that a member reports to, by whether they answer."""

import logging

import trio

_LOGGER = logging.getLogger(__name__)

#: A relay that sends nothing for this long is replaced: three of its turns, and
#: a third of the time after which members count as gone.
RELAY_SILENT_S = 0.45
#: How long a silent relay is not asked again; doubled with each silence.
FIRST_BLOCK_S = 2.0
MAX_BLOCK_S = 30.0
#: A pause of this process beyond this time says nothing about the relay.
OWN_PAUSE_S = 0.5


class _RelayState:
    """What is known of one relay.

    Attributes:
        asked_since_s: Monotonic time since which reports go there; None while
            they do not.
        answered_at_s: Monotonic time of its last answer.
        silences: Consecutive times that it was replaced.
        blocked_until_s: Monotonic time until which it is not asked.
    """

    __slots__ = (
        'asked_since_s',
        'answered_at_s',
        'silences',
        'blocked_until_s',
    )

    def __init__(self) -> None:
        self.asked_since_s: float | None = None
        self.answered_at_s = float('-inf')
        self.silences = 0
        self.blocked_until_s = float('-inf')


class RelayChoice:
    """The relays of one member.

    Attributes:
        primary: The relay that answers with what it hears; None if there is
            none.
        secondary: A relay that only passes this member's reports on.
    """

    __slots__ = (
        'primary',
        'secondary',
        '_previous',
        '_states',
        '_updated_at_s',
    )

    def __init__(self) -> None:
        self.primary: str | None = None
        self.secondary: str | None = None
        self._previous: str | None = None
        self._states: dict[str, _RelayState] = {}
        self._updated_at_s = float('-inf')

    def update(self, preferred: list[str]) -> None:
        """Chooses the first relays that are not known to be silent.

        Args:
            preferred: The relays in order of preference.
        """
        now_s = trio.current_time()
        was_paused = now_s - self._updated_at_s > OWN_PAUSE_S
        self._updated_at_s = now_s
        if was_paused and self.primary is not None:
            self._states[self.primary].asked_since_s = now_s
        self._check_primary(now_s)
        usable: list[str] = []
        for relay in preferred:
            state = self._states.setdefault(relay, _RelayState())
            if state.blocked_until_s <= now_s:
                usable.append(relay)
        self._set_primary(usable[0] if usable else None, now_s)
        self.secondary = usable[1] if len(usable) > 1 else None
        for relay in list(self._states):
            if relay not in preferred and relay != self._previous:
                del self._states[relay]

    def record_answer(self, relay: str) -> None:
        """Records a message of a relay to this member."""
        state = self._states.get(relay)
        if state is None:
            return
        state.answered_at_s = trio.current_time()
        state.silences = 0
        if relay == self.primary:
            self._previous = None

    def list_asked(self) -> list[str]:
        """Returns the relays that are to answer this member's reports.

        While a new primary relay has not answered, the previous one is asked
        too.
        """
        asked: list[str] = []
        for relay in (self.primary, self._previous):
            if relay is not None:
                asked.append(relay)
        return asked

    def _check_primary(self, now_s: float) -> None:
        """Blocks the primary relay if it does not answer."""
        if self.primary is None:
            return
        state = self._states[self.primary]
        last_s = state.answered_at_s
        if state.asked_since_s is not None:
            last_s = max(last_s, state.asked_since_s)
        if now_s - last_s <= RELAY_SILENT_S:
            return
        state.silences += 1
        block_s = min(MAX_BLOCK_S, FIRST_BLOCK_S * 2 ** (state.silences - 1))
        state.blocked_until_s = now_s + block_s
        _LOGGER.info(
            'relay_silent',
            extra={
                'relay': self.primary,
                'silences': state.silences,
                'block_ms': int(block_s * 1000),
            },
        )

    def _set_primary(self, relay: str | None, now_s: float) -> None:
        if relay == self.primary:
            return
        earlier = self.primary
        if earlier is not None:
            state = self._states[earlier]
            state.asked_since_s = None
            is_answering = now_s - state.answered_at_s <= RELAY_SILENT_S
            self._previous = earlier if is_answering else None
        if relay == self._previous:
            self._previous = None
        if relay is not None:
            self._states[relay].asked_since_s = now_s
        self.primary = relay
        _LOGGER.info('relay_chosen', extra={'relay': relay, 'earlier': earlier})


def create_relay_choice() -> RelayChoice:
    """Creates a choice of a member that has not asked any relay."""
    return RelayChoice()
