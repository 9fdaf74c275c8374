"""A sidecar with scripted responses, and fixtures of request executions."""

import orjson
import trio

from siskinmount import backing_services
from siskinmount import configuration
from siskinmount import membership
from siskinmount import relay
from siskinmount import results
from siskinmount import routing
from siskinmount import state
from siskinmount import transport
from siskinmount.entry import _run_request
from siskinmount.entry import _upstream_access

SERVICE = configuration.Service(
    name='lm', kind=configuration.ServiceKind.MODEL, model='lm'
)


class ScriptedSidecar:
    """Responds to each run with the next script and records the requests.

    A script is either a failure to refuse the run with, or a list of frames to
    send. In the list, `DISCONNECT` closes the connection and `HANG` sends
    nothing more.
    """

    DISCONNECT = object()
    HANG = object()

    def __init__(self, vm, *scripts):
        self.vm = vm
        self.incarnation = 7
        self.scripts = list(scripts)
        self.version = ''
        self.resume_versions = []
        self.runs = []
        self.attaches = []
        self.solos = []
        self.cancels = []
        self.attach_scripts = []

    async def handle(self, exchange):
        body = await exchange.read_body()
        head = exchange.head
        if head.path.startswith('/cancel/'):
            self.cancels.append(head.path.removeprefix('/cancel/'))
            await self._refuse(
                exchange,
                results.Failure(
                    results.ResultCode.NO_SUCH_REQUEST,
                    'unknown',
                    results.RunState.UNKNOWN,
                ),
            )
            return
        from_token = int(head.find_header(relay.RelayHeader.FROM_TOKEN))
        if head.find_header(relay.RelayHeader.ATTACH_ONLY):
            self.attaches.append(from_token)
            script = (
                self.attach_scripts.pop(0)
                if self.attach_scripts
                else results.Failure(
                    results.ResultCode.NO_SUCH_REQUEST,
                    'unknown',
                    results.RunState.UNKNOWN,
                )
            )
        else:
            self.solos.append(head.find_header(relay.RelayHeader.SOLO))
            document = orjson.loads(body)
            self.runs.append((document.get('resume_tokens'), from_token))
            self.resume_versions.append(document.get('resume_version'))
            script = self.scripts.pop(0)
        if isinstance(script, results.Failure):
            await self._refuse(exchange, script)
            return
        await exchange.start_stream(200, self._headers())
        for frame in script:
            if frame is self.HANG:
                await trio.sleep_forever()
            if frame is self.DISCONNECT:
                raise trio.BrokenResourceError
            await exchange.send_chunk(relay.encode_frame(frame))
        await exchange.finish()

    async def _refuse(self, exchange, failure):
        await exchange.send_json(
            503,
            {
                'error': {
                    'code': int(failure.code),
                    'reason': failure.reason,
                    'run_state': failure.run_state.value,
                    'retry_after_ms': failure.retry_after_ms,
                }
            },
            self._headers(),
        )

    def _headers(self):
        return [
            (relay.RelayHeader.IN_FLIGHT, b'0'),
            (relay.RelayHeader.SLOTS, b'8'),
            (relay.RelayHeader.INCARNATION, b'%d' % self.incarnation),
            (relay.RelayHeader.SOFTWARE_VERSION, self.version.encode()),
        ]


def create_member(sidecar, address):
    return membership.Member(
        vm=sidecar.vm,
        role=membership.MemberRole.SIDECAR,
        incarnation=sidecar.incarnation,
        region='r',
        failure_domain='d',
        peers_address=address,
        control_address=address,
        service=SERVICE.name,
        slots=8,
    )


def create_access(table):
    crash_reports = state.create_crash_report_stream(
        backing_services.create_log_client(transport.Address('127.0.0.1', 1))
    )
    return _TestAccess(
        routing.create_router(table),
        routing.create_retry_budgets(),
        crash_reports,
        transport.ClientLimits(silence_timeout_ms=300),
    )


class _TestAccess(_upstream_access.UpstreamAccess):
    """Lets a test record crashes as if they were read from the log."""

    def record_test_crash(self, vm, alone):
        self._crash_reports.record_crash('f', vm, 1, alone=alone)


class PromptModel:
    """Fakes a `ModelRequest`."""

    def encode_run_body(self, resume_tokens, resume_version):
        return orjson.dumps(
            {
                'prompt': 'p',
                'resume_tokens': resume_tokens,
                'resume_version': resume_version,
            }
        )


def create_run_request(
    *,
    idempotent=True,
    first_token=0,
    answer_so_far=(),
    answer_version='',
    fingerprint='f',
    deadline_s=10,
):
    return _run_request.RunRequest(
        request_id='r1',
        service=SERVICE,
        request_class=configuration.RequestClass.ONLINE,
        affinity_key='k',
        fingerprint=fingerprint,
        deadline_s=trio.current_time() + deadline_s,
        idempotent=idempotent,
        caller='c',
        first_token=first_token,
        answer_so_far=answer_so_far,
        answer_version=answer_version,
        model=PromptModel(),
    )
