"""Idempotency keys: at most one run of a request, with a stored outcome."""

from collections.abc import Iterable
import uuid

import trio

from siskinmount import results
from siskinmount.state import _commit_queue
from siskinmount.state import _state_machine
from siskinmount.state import _state_stream
from siskinmount.state import records_pb2

DEFAULT_KEY_RETENTION_MS = 24 * 3600 * 1000
DEFAULT_MAX_RUN_MS = 10 * 60 * 1000
SWEEP_INTERVAL_MS = 10_000
MAX_DROPPED_PER_SWEEP = 1000


class Started:
    """The intent has been committed: the request may be sent, once.

    Attributes:
        attempt: Identifier of this run for `finish` and `abandon`.
    """

    __slots__ = ('attempt',)

    def __init__(self, attempt: str) -> None:
        self.attempt = attempt


class KnownOutcome:
    """An earlier run of the request has ended.

    Attributes:
        outcome: The outcome that `finish` recorded.
    """

    __slots__ = ('outcome',)

    def __init__(self, outcome: bytes) -> None:
        self.outcome = outcome


class UnknownOutcome:
    """The request may have run, and its outcome cannot be determined."""

    __slots__ = ()


class InProgress:
    """The request is running now."""

    __slots__ = ()


BeginOutcome = (
    Started | KnownOutcome | UnknownOutcome | InProgress | results.Failure
)


class _KeyState:
    """State of a key.

    Attributes:
        intent: The first intent for the key.
        outcome: The outcome, or None.
        outcome_at_ms: When the outcome was recorded; 0 without one.
    """

    __slots__ = ('intent', 'outcome', 'outcome_at_ms')

    def __init__(self, intent: records_pb2.KeyIntent) -> None:
        self.intent = intent
        self.outcome: bytes | None = None
        self.outcome_at_ms = 0


class KeyTable:
    """Decides whether a request under a key may be sent.

    Keys are scoped to their caller: two callers may use the same key text.

    Attributes:
        kinds: Kinds of records that are applied.
    """

    kinds = frozenset({'key_intent', 'key_outcome', 'key_entry', 'key_dropped'})

    __slots__ = (
        '_stream',
        '_retention_ms',
        '_max_run_ms',
        '_entries',
        '_holders',
        '_pending_intents',
        '_abandoned_attempts',
        '_pending_releases',
    )

    def __init__(
        self,
        stream: _state_stream.StateStream,
        retention_ms: int,
        max_run_ms: int,
    ) -> None:
        self._stream = stream
        self._retention_ms = retention_ms
        self._max_run_ms = max_run_ms
        self._entries: dict[tuple[str, str], _KeyState] = {}
        # Holders of the attempts that may still be finished.
        self._holders: dict[str, str] = {}
        # Fingerprints by the keys whose intent is not committed yet.
        self._pending_intents: dict[tuple[str, str], str] = {}
        # Attempts that were cancelled before their intent was read back.
        self._abandoned_attempts: set[str] = set()
        # Cancelled attempts whose key is released by a record in the queue.
        self._pending_releases: set[str] = set()

    def __len__(self) -> int:
        return len(self._entries)

    async def begin(
        self,
        key: str,
        caller: str,
        fingerprint: str,
        holder: str = '',
        attempt: str = '',
    ) -> BeginOutcome:
        """Requests permission to send a request under a key.

        Args:
            key: The caller's idempotency key.
            caller: Name of the caller.
            fingerprint: Digest of the request's content.
            holder: The process that will send the request, if that is not the
                stream's owner; see `drop_holder`.
            attempt: Identifier of the run; a random one if empty. A holder
                whose answer was lost may ask again with the same identifier
                and gets `Started`.

        Returns:
            `Started` once the intent has been read back. Any other answer is
            what is known of the request, which must not be sent then.
        """
        if not self._stream.is_owned:
            return self._not_owner_failure()
        name = (caller, key)
        known = self._find(name, fingerprint)
        if isinstance(known, InProgress) and self._is_held_by(name, attempt):
            return Started(attempt)
        if known is not None:
            return known
        attempt = attempt or uuid.uuid4().hex
        self._pending_intents[name] = fingerprint
        self._holders[attempt] = holder
        committed: _commit_queue.Committed | results.Failure | None = None
        try:
            committed = await self._stream.commit(
                records_pb2.Record(
                    key_intent=records_pb2.KeyIntent(
                        caller=caller,
                        key=key,
                        fingerprint=fingerprint,
                        attempt=attempt,
                        at_ms=self._stream.now_ms(),
                        holder=holder,
                    )
                )
            )
        finally:
            del self._pending_intents[name]
            if not isinstance(committed, _commit_queue.Committed):
                self._cancel_attempt(name, attempt, committed)
        if isinstance(committed, results.Failure):
            # The request is never sent, whether or not the intent reaches the
            # log.
            committed.run_state = results.RunState.NOT_RUN
            return committed
        entry = self._entries.get(name)
        if entry is not None and entry.intent.attempt == attempt:
            return Started(attempt)
        # The intent of a cancelled attempt reached the log before this one.
        self._holders.pop(attempt, None)
        return self._find(name, fingerprint) or self._release_pending_failure(
            key
        )

    async def finish(
        self, key: str, caller: str, attempt: str, outcome: bytes
    ) -> results.Failure | None:
        """Records the outcome of a request that was started.

        While the log is unavailable, the record waits in the stream's queue. If
        the stream has moved to another owner, the outcome may be reported to
        that owner.

        Returns:
            A failure if the outcome has not been read back in time; the
            outcome may still be recorded later.
        """
        return await self._commit_outcome(
            records_pb2.KeyOutcome(
                caller=caller, key=key, attempt=attempt, outcome=outcome
            )
        )

    async def abandon(
        self, key: str, caller: str, attempt: str
    ) -> results.Failure | None:
        """Releases the key of a started request that was certainly not sent."""
        return await self._commit_outcome(
            records_pb2.KeyOutcome(
                caller=caller, key=key, attempt=attempt, not_run=True
            )
        )

    def list_holders(self) -> list[str]:
        """Returns the sorted names of processes with requests in progress."""
        return sorted(set(self._holders.values()))

    def drop_holder(self, holder: str) -> None:
        """Makes the outcome of a lost process's requests unknown for good."""
        for attempt, owner in list(self._holders.items()):
            if owner == holder:
                del self._holders[attempt]

    async def run(self) -> None:
        """Periodically drops expired keys while the stream is owned."""
        while self._stream.is_owned:
            await trio.sleep(SWEEP_INTERVAL_MS / 1000)
            self._drop_expired()

    def begin_term(self) -> None:
        """Registers requests that may still be running at other processes."""
        for entry in self._entries.values():
            if entry.outcome is None and entry.intent.holder:
                self._holders[entry.intent.attempt] = entry.intent.holder

    def apply(
        self, record: records_pb2.Record, position: _state_machine.Position
    ) -> None:
        """Applies an accepted record."""
        kind = record.WhichOneof('kind')
        if kind == 'key_intent':
            self._apply_intent(record.key_intent)
        elif kind == 'key_outcome':
            self._apply_outcome(record.key_outcome)
        elif kind == 'key_dropped':
            dropped = record.key_dropped
            self._entries.pop((dropped.caller, dropped.key), None)

    def describe(self) -> Iterable[records_pb2.Record]:
        """Returns snapshot records that restore the current state."""
        for entry in self._entries.values():
            yield records_pb2.Record(
                key_entry=records_pb2.KeyEntry(
                    intent=entry.intent,
                    has_outcome=entry.outcome is not None,
                    outcome=entry.outcome or b'',
                    outcome_at_ms=entry.outcome_at_ms,
                )
            )

    def restore(self, record: records_pb2.Record) -> None:
        """Restores one key from a snapshot record."""
        described = record.key_entry
        entry = _KeyState(described.intent)
        if described.has_outcome:
            entry.outcome = described.outcome
            entry.outcome_at_ms = described.outcome_at_ms
        self._entries[(entry.intent.caller, entry.intent.key)] = entry

    def _is_held_by(self, name: tuple[str, str], attempt: str) -> bool:
        """Returns whether a key is held by an attempt."""
        entry = self._entries.get(name)
        return (
            entry is not None
            and bool(attempt)
            and entry.intent.attempt == attempt
        )

    def _find(
        self, name: tuple[str, str], fingerprint: str
    ) -> KnownOutcome | UnknownOutcome | InProgress | results.Failure | None:
        """Returns the state of a key, or None if the key is free."""
        beginning = self._pending_intents.get(name)
        if beginning is not None:
            return (
                InProgress()
                if beginning == fingerprint
                else _key_reused_failure(name[1])
            )
        entry = self._entries.get(name)
        if entry is None:
            return None
        if entry.intent.fingerprint != fingerprint:
            return _key_reused_failure(name[1])
        if entry.outcome is not None:
            return KnownOutcome(entry.outcome)
        if entry.intent.attempt in self._pending_releases:
            return self._release_pending_failure(name[1])
        run_ms = self._stream.now_ms() - entry.intent.at_ms
        if entry.intent.attempt in self._holders and run_ms < self._max_run_ms:
            return InProgress()
        return UnknownOutcome()

    def _apply_intent(self, intent: records_pb2.KeyIntent) -> None:
        """Registers the first intent for a key; later ones are ignored."""
        name = (intent.caller, intent.key)
        if name in self._entries:
            return
        self._entries[name] = _KeyState(intent)
        if intent.attempt in self._abandoned_attempts:
            self._abandoned_attempts.discard(intent.attempt)
            self._enqueue_not_run(name, intent.attempt)

    def _apply_outcome(self, outcome: records_pb2.KeyOutcome) -> None:
        """Registers the first outcome of the attempt that holds a key."""
        name = (outcome.caller, outcome.key)
        self._holders.pop(outcome.attempt, None)
        self._pending_releases.discard(outcome.attempt)
        entry = self._entries.get(name)
        if entry is None or entry.intent.attempt != outcome.attempt:
            return
        if entry.outcome is not None:
            return
        if outcome.not_run:
            del self._entries[name]
            return
        entry.outcome = outcome.outcome
        entry.outcome_at_ms = outcome.at_ms

    def _cancel_attempt(
        self,
        name: tuple[str, str],
        attempt: str,
        failure: results.Failure | None,
    ) -> None:
        """Releases the key of an attempt whose request will not be sent.

        Args:
            name: Caller and key.
            attempt: Identifier of the attempt.
            failure: Why the intent was not committed, or None if the task was
                cancelled.
        """
        self._holders.pop(attempt, None)
        if failure is not None and (
            failure.run_state is results.RunState.NOT_RUN
        ):
            return
        entry = self._entries.get(name)
        if entry is not None and entry.intent.attempt == attempt:
            self._enqueue_not_run(name, attempt)
            return
        self._abandoned_attempts.add(attempt)

    def _enqueue_not_run(self, name: tuple[str, str], attempt: str) -> None:
        """Queues the record that releases a key.

        If it cannot be queued, the outcome of the key stays unknown.
        """
        caller, key = name
        queued = self._stream.enqueue(
            records_pb2.Record(
                key_outcome=records_pb2.KeyOutcome(
                    caller=caller,
                    key=key,
                    attempt=attempt,
                    not_run=True,
                    at_ms=self._stream.now_ms(),
                )
            )
        )
        if not isinstance(queued, results.Failure):
            self._pending_releases.add(attempt)

    async def _commit_outcome(
        self, outcome: records_pb2.KeyOutcome
    ) -> results.Failure | None:
        """Queues an outcome and waits up to the commit timeout for it."""
        outcome.at_ms = self._stream.now_ms()
        pending = self._stream.enqueue(records_pb2.Record(key_outcome=outcome))
        if isinstance(pending, results.Failure):
            return pending
        with trio.move_on_after(self._stream.limits.commit_timeout_ms / 1000):
            await pending.settled.wait()
        if isinstance(pending.outcome, _commit_queue.Committed):
            return None
        if pending.outcome is not None:
            return pending.outcome
        return results.Failure(
            results.ResultCode.LOG_APPEND_UNKNOWN,
            'the outcome has not been read back yet',
            results.RunState.UNKNOWN,
        )

    def _drop_expired(self) -> None:
        """Queues records that drop expired keys."""
        limit_ms = self._stream.now_ms() - self._retention_ms
        dropped_count = 0
        for (caller, key), entry in self._entries.items():
            newest_ms = max(entry.intent.at_ms, entry.outcome_at_ms)
            if newest_ms > limit_ms or entry.intent.attempt in self._holders:
                continue
            self._stream.enqueue(
                records_pb2.Record(
                    key_dropped=records_pb2.KeyDropped(caller=caller, key=key)
                )
            )
            dropped_count += 1
            if dropped_count >= MAX_DROPPED_PER_SWEEP:
                return

    def _not_owner_failure(self) -> results.Failure:
        return results.Failure(
            results.ResultCode.NOT_OWNER,
            f'{self._stream.name} is not owned by this process',
            retry_after_ms=self._stream.limits.claim_wait_ms,
        )

    def _release_pending_failure(self, key: str) -> results.Failure:
        return results.Failure(
            results.ResultCode.LOG_UNAVAILABLE,
            f'a cancelled attempt under key {key!r} is being undone',
            retry_after_ms=self._stream.limits.max_backoff_ms,
        )


def _key_reused_failure(key: str) -> results.Failure:
    return results.Failure(
        results.ResultCode.IDEMPOTENCY_KEY_REUSED,
        f'idempotency key {key!r} was used for another request',
    )


def create_key_table(
    stream: _state_stream.StateStream,
    retention_ms: int = DEFAULT_KEY_RETENTION_MS,
    max_run_ms: int = DEFAULT_MAX_RUN_MS,
) -> KeyTable:
    """Creates a key table and adds it to a stream.

    Args:
        stream: The state stream, not running yet.
        retention_ms: How long a key and its outcome are kept.
        max_run_ms: How long a request may be in progress; a request without
            an outcome by then is reported as `UnknownOutcome`.
    """
    table = KeyTable(stream, retention_ms, max_run_ms)
    stream.add_state_machine(table)
    return table
