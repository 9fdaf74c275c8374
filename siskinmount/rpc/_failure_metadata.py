"""Encodes a failure as trailing metadata of a gRPC status."""

from collections.abc import Iterable

from siskinmount import results

_CODE_KEY = 'siskinmount-code'
_RUN_STATE_KEY = 'siskinmount-run-state'
_RETRY_AFTER_KEY = 'siskinmount-retry-after-ms'


def encode_failure(failure: results.Failure) -> tuple[tuple[str, str], ...]:
    """Encodes a failure as metadata, without its reason."""
    pairs = [
        (_CODE_KEY, str(int(failure.code))),
        (_RUN_STATE_KEY, failure.run_state.value),
    ]
    if failure.retry_after_ms is not None:
        pairs.append((_RETRY_AFTER_KEY, str(failure.retry_after_ms)))
    return tuple(pairs)


def decode_failure(
    metadata: Iterable[tuple[str, str | bytes]] | None, reason: str
) -> results.Failure | None:
    """Decodes the failure in the metadata, or returns None."""
    texts: dict[str, str] = {}
    for key, value in metadata or ():
        if isinstance(value, str):
            texts[key] = value
    try:
        code = results.ResultCode(int(texts[_CODE_KEY]))
        run_state = results.RunState(texts[_RUN_STATE_KEY])
        retry_after_text = texts.get(_RETRY_AFTER_KEY)
        retry_after_ms = (
            None if retry_after_text is None else int(retry_after_text)
        )
    except (KeyError, ValueError):
        return None
    return results.Failure(code, reason, run_state, retry_after_ms)
