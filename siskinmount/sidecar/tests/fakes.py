"""Fake upstreams, and settings and requests for tests of the sidecar."""

import math

import orjson
import trio

from siskinmount import configuration
from siskinmount import relay
from siskinmount import results
from siskinmount import sidecar
from siskinmount import transport
from siskinmount.sidecar import _running_request

TOKEN_INTERVAL_S = 0.1


class FakeLivenessConnection:

    def __init__(self, upstream):
        self.opened_at_s = trio.current_time()
        self._upstream = upstream
        self._process = upstream.process

    def has_closed(self):
        return self._upstream.process != self._process

    def close(self):
        pass


class FakeStream:

    def __init__(self, upstream, request_id, index, end):
        self.software_version = upstream.software_version
        self._upstream = upstream
        self._request_id = request_id
        self._process = upstream.process
        self._cut = upstream.cut_count
        self._index = index
        self._end = end

    async def receive(self):
        await trio.sleep(TOKEN_INTERVAL_S)
        if self._upstream.process != self._process:
            return results.Failure(
                results.ResultCode.UPSTREAM_LOST, '', results.RunState.RAN
            )
        if self._upstream.cut_count != self._cut or self._upstream.frozen:
            await trio.sleep(5)
            return results.Failure(
                results.ResultCode.UPSTREAM_SILENT, '', results.RunState.RAN
            )
        if self._index == self._end:
            return [relay.EndFrame('stop', 1, self._end)]
        index = self._index
        self._index += 1
        return [relay.TokenFrame(index, f't{index}')]

    def close(self):
        self._upstream.open_streams -= 1


class FakeModelUpstream:
    """Emits a token each `TOKEN_INTERVAL_S`; can crash, freeze, cut streams."""

    def __init__(self):
        self.process = 1
        self.software_version = ''
        self.alive = True
        self.frozen = False
        self.cut_count = 0
        self.loses_cancels = False
        self.open_streams = 0
        self.started = []
        self.cancelled = []

    def crash(self):
        self.process += 1
        self.alive = False

    async def start(self, request_id, body, resume_tokens):
        if not self.alive:
            return results.Failure(
                results.ResultCode.UPSTREAM_UNREACHABLE, 'refused'
            )
        self.started.append((request_id, len(resume_tokens)))
        self.open_streams += 1
        return FakeStream(self, request_id, len(resume_tokens), body.max_tokens)

    async def cancel(self, request_id):
        self.cancelled.append(request_id)
        if self.loses_cancels:
            return results.Failure(
                results.ResultCode.UPSTREAM_SILENT,
                '',
                results.RunState.UNKNOWN,
            )
        return None

    async def probe(self):
        if not self.alive:
            return results.Failure(
                results.ResultCode.UPSTREAM_UNREACHABLE, 'refused'
            )
        if self.frozen:
            return results.Failure(
                results.ResultCode.UPSTREAM_SILENT,
                'silent',
                results.RunState.UNKNOWN,
            )
        return None

    async def open_liveness_connection(self):
        if not self.alive:
            return results.Failure(
                results.ResultCode.UPSTREAM_UNREACHABLE, 'refused'
            )
        return FakeLivenessConnection(self)


def create_settings(upstream_address, **keywords):
    unused = transport.Address('127.0.0.1', 1)
    identity = configuration.DaemonIdentity(
        vm='vm-1',
        region='region-1',
        failure_domain='domain-1',
        peers_address=transport.Address('127.0.0.1', 0),
        control_address=transport.Address('127.0.0.1', 0),
        log_address=unused,
        vm_list_address=unused,
        seeds=[],
    )
    return configuration.SidecarSettings(
        identity=identity,
        service=keywords.pop('service', 'model-service'),
        upstream_address=upstream_address,
        slots=keywords.pop('slots', 2),
        **keywords,
    )


class FakeEngine:
    """HTTP engine that emits a token for each that the test allows."""

    def __init__(self):
        self.allowed = trio.Semaphore(0)
        self.cancelled = []
        self.documents = []
        self.padding = ''
        self.software_version = ''

    async def handle(self, exchange):
        if exchange.head.path == '/v1/state':
            await exchange.send_json(200, {})
            return
        document = orjson.loads(await exchange.read_body())
        if exchange.head.path == '/v1/cancel':
            self.cancelled.append(document['request_id'])
            await exchange.send_json(200, {})
            return
        self.documents.append(document)
        await exchange.start_stream(
            200, [(b'x-software-version', self.software_version.encode())]
        )
        first = len(document['resume_tokens'])
        for index in range(first, document['max_tokens']):
            await self.allowed.acquire()
            text = f't{index}{self.padding}'
            event = orjson.dumps({'index': index, 'text': text})
            await exchange.send_chunk(b'data: ' + event + b'\n\n')
        event = orjson.dumps(
            {
                'finish_reason': 'length',
                'prompt_tokens': 1,
                'completion_tokens': document['max_tokens'],
            }
        )
        await exchange.send_chunk(b'data: ' + event + b'\n\ndata: [DONE]\n\n')
        await exchange.finish()

    def allow(self, count):
        for _ in range(count):
            self.allowed.release()


def create_run_request(request_id='r', online=True, tokens=3, **keywords):
    body = sidecar.ModelBody(
        prompt=keywords.pop('prompt', 'words'),
        max_tokens=tokens,
        resume_tokens=keywords.pop('resume_tokens', []),
        resume_version=keywords.pop('resume_version', ''),
    )
    return sidecar.RunRequest(
        request_id=request_id,
        body=body,
        request_class=configuration.RequestClass(
            'online' if online else 'batch'
        ),
        **keywords,
    )


def create_running(request_id='r', online=True, tokens=3, **keywords):
    return _running_request.RunningRequest(
        create_run_request(request_id, online, tokens, **keywords)
    )


def describe_frames(frames):
    """Returns the texts of tokens, `end`, or a failure as `NAME:run_state`."""
    described = []
    for frame in frames:
        if isinstance(frame, relay.TokenFrame):
            described.append(frame.text)
        elif isinstance(frame, relay.EndFrame):
            described.append('end')
        elif isinstance(frame, relay.FailureFrame):
            described.append(
                f'{frame.failure.code.name}:{frame.failure.run_state.value}'
            )
    return described


NEVER_S = math.inf
