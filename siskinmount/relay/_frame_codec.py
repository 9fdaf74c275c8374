"""Encodes and decodes frames as JSON lines."""

import base64

import orjson

from siskinmount import results
from siskinmount.relay import _frames

MAX_LINE_BYTES = 4 * 1024 * 1024
_KEEP_ALIVE_LINE = b'{"k":1}\n'


def encode_frame(frame: _frames.Frame) -> bytes:
    """Encodes a frame as one line."""
    if isinstance(frame, _frames.TokenFrame):
        token: dict[str, object] = {'i': frame.index, 't': frame.text}
        if frame.software_version:
            token['v'] = frame.software_version
        return orjson.dumps(token) + b'\n'
    if isinstance(frame, _frames.KeepAliveFrame):
        return _KEEP_ALIVE_LINE
    if isinstance(frame, _frames.HeadFrame):
        return (
            orjson.dumps(
                {'head': {'status': frame.status, 'headers': frame.headers}}
            )
            + b'\n'
        )
    if isinstance(frame, _frames.BodyFrame):
        text = base64.b64encode(frame.data).decode('ascii')
        return orjson.dumps({'body': text}) + b'\n'
    if isinstance(frame, _frames.EndFrame):
        return (
            orjson.dumps(
                {
                    'end': {
                        'finish_reason': frame.finish_reason,
                        'prompt_tokens': frame.prompt_tokens,
                        'completion_tokens': frame.completion_tokens,
                    }
                }
            )
            + b'\n'
        )
    return orjson.dumps({'fail': encode_failure(frame)}) + b'\n'


def encode_failure(frame: _frames.FailureFrame) -> dict[str, object]:
    """Returns the JSON form of a failure, for frames and error responses."""
    failure = frame.failure
    return {
        'code': int(failure.code),
        'name': failure.code.name,
        'reason': failure.reason,
        'run_state': failure.run_state.value,
        'retry_after_ms': failure.retry_after_ms,
        'upstream_generation': frame.upstream_generation,
        'was_alone': frame.was_alone,
    }


def decode_failure(document: dict) -> _frames.FailureFrame:
    """Decodes the result of `encode_failure`.

    Raises:
        ValueError, KeyError, TypeError: The document is not a failure.
    """
    return _frames.FailureFrame(
        results.Failure(
            results.ResultCode(document['code']),
            str(document['reason']),
            results.RunState(document['run_state']),
            document.get('retry_after_ms'),
        ),
        int(document.get('upstream_generation', 0)),
        document.get('was_alone') is True,
    )


def decode_frame(line: bytes) -> _frames.Frame | results.Failure:
    """Decodes one line."""
    try:
        return _decode(orjson.loads(line))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return results.Failure(
            results.ResultCode.UPSTREAM_ERROR,
            f'invalid frame: {error}',
            results.RunState.UNKNOWN,
        )


def _decode(document: dict) -> _frames.Frame:
    """Builds a frame from a parsed line.

    Raises:
        ValueError, KeyError, TypeError, AttributeError: The line is not a
            frame.
    """
    if 't' in document:
        return _frames.TokenFrame(
            int(document['i']),
            str(document['t']),
            str(document.get('v', '')),
        )
    if 'k' in document:
        return _frames.KeepAliveFrame()
    if 'head' in document:
        head = document['head']
        headers = [(str(name), str(value)) for name, value in head['headers']]
        return _frames.HeadFrame(int(head['status']), headers)
    if 'body' in document:
        return _frames.BodyFrame(
            base64.b64decode(document['body'], validate=True)
        )
    if 'end' in document:
        end = document['end']
        return _frames.EndFrame(
            str(end['finish_reason']),
            int(end['prompt_tokens']),
            int(end['completion_tokens']),
        )
    return decode_failure(document['fail'])


class FrameReader:
    """Decodes frames from a stream of bytes."""

    __slots__ = ('_pending',)

    def __init__(self) -> None:
        self._pending = b''

    def feed(self, data: bytes) -> list[_frames.Frame] | results.Failure:
        """Returns the frames completed by `data`, in order."""
        lines = (self._pending + data).split(b'\n')
        self._pending = lines.pop()
        if len(self._pending) > MAX_LINE_BYTES:
            return results.Failure(
                results.ResultCode.UPSTREAM_ERROR,
                'a frame is too long',
                results.RunState.UNKNOWN,
            )
        frames: list[_frames.Frame] = []
        for line in lines:
            frame = decode_frame(line)
            if isinstance(frame, results.Failure):
                return frame
            frames.append(frame)
        return frames
