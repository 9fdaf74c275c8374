"""Starts a fleet, sends requests through it, and stops it gracefully.

With `--hold` the demo sends no requests. The fleet then runs for the given
time, or until SIGINT or SIGTERM, so that other clients can send requests.
"""

import json
import pathlib
import signal
import sys

from absl import app
from absl import flags
import trio

from standins import engine
from tools import fleet
from tools.demo import _caller_client

MODEL_SERVICE = 'wordsmith'
PLAIN_SERVICE = 'swapdesk'
PROMPTS = (
    'Describe a beach house with two bedrooms.',
    'Answer a host who asks about the keys.',
    'Draft a short welcome note.',
)
MAX_TOKENS = 24
BATCH_ITEMS = 40
BATCH_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 30.0


_HOLD_S = flags.DEFINE_float(
    'hold', 0.0, 'Seconds to keep the fleet for requests of others.', 0.0
)


class Demo:
    """Sends requests through a fleet and checks the answers.

    Attributes:
        wrong_count: Number of checks that failed.
    """

    __slots__ = ('wrong_count', '_fleet', '_caller')

    def __init__(self, running: fleet.Fleet, caller: fleet.Caller) -> None:
        self.wrong_count = 0
        self._fleet = running
        self._caller = caller

    async def run(self) -> None:
        """Runs all parts of the demo in sequence."""
        await self._run_completions()
        await self._run_plain_calls()
        await self._run_batch_job()
        await self._run_commands()
        await self._read_metrics()

    async def _run_completions(self) -> None:
        """Requests streamed completions and one unstreamed chat answer."""
        entries = self._fleet.plan.entries
        for number, prompt in enumerate(PROMPTS):
            entry = entries[number % len(entries)]
            answer = await trio.to_thread.run_sync(
                _caller_client.stream_completion,
                entry.callers_address,
                self._caller,
                '/v1/completions',
                {
                    'model': MODEL_SERVICE,
                    'prompt': prompt,
                    'max_tokens': MAX_TOKENS,
                },
            )
            expected = ''.join(engine.expected_tokens(prompt, None, MAX_TOKENS))
            upstreams = await self._find_upstreams(answer.request_id)
            self._check(
                answer.whole and answer.text == expected,
                f'stream through {entry.vm} from {upstreams}:'
                f' {answer.event_count} tokens',
            )
        messages = [{'role': 'user', 'content': PROMPTS[0]}]
        body = json.dumps(
            {
                'model': MODEL_SERVICE,
                'messages': messages,
                'max_tokens': MAX_TOKENS,
            }
        )
        whole = await trio.to_thread.run_sync(
            _caller_client.send_request,
            entries[0].callers_address,
            self._caller,
            'POST',
            '/v1/chat/completions',
            body.encode('utf-8'),
        )
        expected = ''.join(engine.expected_tokens(None, messages, MAX_TOKENS))
        text = ''
        if whole.status == 200:
            choice = json.loads(whole.body)['choices'][0]
            text = choice['message']['content']
        upstreams = await self._find_upstreams(whole.request_id)
        self._check(
            text == expected,
            f'chat answer through {entries[0].vm} from {upstreams}:'
            f' status {whole.status}',
        )

    async def _find_upstreams(self, request_id: str) -> str:
        """Returns the names of the VMs whose engines ran a request."""
        found: list[str] = []
        for sidecar in self._fleet.plan.sidecars:
            if not sidecar.is_model:
                continue
            answer = await self._fleet.send_control(
                sidecar.upstream_address, 'GET', '/control/started'
            )
            for started in json.loads(answer)['started']:
                if started['request_id'] == request_id:
                    found.append(sidecar.vm)
        return ', '.join(found)

    async def _run_plain_calls(self) -> None:
        """Sends a booking twice with one idempotency key, to different entries."""
        answers: list[_caller_client.PlainAnswer] = []
        for entry in self._fleet.plan.entries[:2]:
            answers.append(
                await trio.to_thread.run_sync(
                    _caller_client.send_request,
                    entry.callers_address,
                    self._caller,
                    'POST',
                    f'/{PLAIN_SERVICE}/booking',
                    b'{"house": 7}',
                    {'Idempotency-Key': 'booking-7'},
                )
            )
        first, second = answers
        self._check(
            first.status == 201 and first.body == second.body,
            f'booking sent twice under one key: status {first.status},'
            f' then {second.status} with the same answer'
            f' {first.body[:200]!r}',
        )
        effects = 0
        for sidecar in self._fleet.plan.sidecars:
            if sidecar.is_model:
                continue
            answer = await self._fleet.send_control(
                sidecar.upstream_address, 'GET', '/control/effects'
            )
            effects += len(json.loads(answer)['effects'])
        self._check(effects == 1, f'bookings made: {effects}')

    async def _run_batch_job(self) -> None:
        """Submits a job to one entry and reads its results from another."""
        entries = self._fleet.plan.entries
        lines: list[str] = []
        for number in range(BATCH_ITEMS):
            prompt = f'Match swap offer {number}.'
            lines.append(json.dumps({'prompt': prompt, 'max_tokens': 8}))
        accepted = await self._send(
            entries[0],
            'POST',
            f'/v1/batches?service={MODEL_SERVICE}&due_s=3600',
            '\n'.join(lines).encode('utf-8'),
        )
        self._check(
            accepted.status == 202,
            f'batch job through {entries[0].vm}: status {accepted.status}',
        )
        if accepted.status != 202:
            return
        path = f'/v1/batches/{json.loads(accepted.body)["job"]}'
        with trio.move_on_after(BATCH_TIMEOUT_S):
            while True:
                status = await self._send(entries[-1], 'GET', path, b'')
                if json.loads(status.body)['state'] == 'finished':
                    break
                await trio.sleep(0.2)
        page = await self._send(
            entries[-1], 'GET', f'{path}/results?limit={BATCH_ITEMS}', b''
        )
        if page.status != 200:
            self._check(False, f'batch results: {page.body!r}')
            return
        correct = 0
        for line in page.body.splitlines():
            result = json.loads(line)
            prompt = f'Match swap offer {result["index"]}.'
            expected = ''.join(engine.expected_tokens(prompt, None, 8))
            output = result['output'] or {}
            correct += output.get('text') == expected
        self._check(
            correct == BATCH_ITEMS,
            f'batch results through {entries[-1].vm}:'
            f' {correct} of {BATCH_ITEMS} whole',
        )

    async def _run_commands(self) -> None:
        """Runs the operators' commands against the fleet."""
        entries = ','.join(
            str(entry.control_address) for entry in self._fleet.plan.entries
        )
        for command in (['status'], ['jobs'], ['report', 'burn']):
            finished = await trio.run_process(
                [
                    sys.executable,
                    '-m',
                    'siskinmount',
                    *command,
                    '--entries',
                    entries,
                ],
                capture_stdout=True,
                check=False,
            )
            self._check(
                finished.returncode == 0,
                f'siskinmount {" ".join(command)}:',
            )
            print(finished.stdout.decode('utf-8').rstrip())

    async def _read_metrics(self) -> None:
        """Checks that every daemon serves metrics."""
        plan = self._fleet.plan
        for member in (*plan.entries, *plan.sidecars):
            answer = await self._fleet.send_control(
                member.peers_address, 'GET', '/metrics'
            )
            self._check(
                isinstance(answer, bytes) and b'siskinmount_' in answer,
                f'metrics of {member.vm}',
            )

    async def _send(
        self,
        entry: fleet.EntryPlan,
        method: str,
        path: str,
        body: bytes,
    ) -> _caller_client.PlainAnswer:
        """Sends one request through an entry."""
        return await trio.to_thread.run_sync(
            _caller_client.send_request,
            entry.callers_address,
            self._caller,
            method,
            path,
            body,
        )

    def _check(self, correct: bool, text: str) -> None:
        """Prints the result of a check and counts a failed one."""
        print(('ok    ' if correct else 'WRONG ') + text)
        if not correct:
            self.wrong_count += 1


async def _hold_fleet(
    plan: fleet.FleetPlan, caller: fleet.Caller, hold_s: float
) -> None:
    """Prints the addresses of the fleet and waits for the time or a signal."""
    for entry in plan.entries:
        print(f'      {entry.vm} for callers: http://{entry.callers_address}')
    for entry in plan.entries:
        print(f'      {entry.vm} for operators: {entry.control_address}')
    print(f'      log: {plan.log_address}')
    print(f'      bearer key: {caller.key}')
    print(f'      holding for {hold_s:g} s', flush=True)
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        with trio.move_on_after(hold_s):
            await anext(signals)


async def run_demo(log_dir: pathlib.Path | None, hold_s: float) -> int:
    """Runs the demo and returns the exit status.

    Args:
        log_dir: Directory for the logs of the processes; None for no logs.
        hold_s: Time in seconds for which the fleet runs for other clients; 0
            to send requests.
    """
    plan = fleet.plan_fleet(
        model_services={MODEL_SERVICE: 2}, plain_services={PLAIN_SERVICE: 1}
    )
    callers = fleet.create_callers(['demo'])
    async with fleet.open_fleet(plan, log_dir) as running:
        await running.start_all()
        version = await fleet.publish_document(
            plan.log_address,
            fleet.format_document(
                model_services=[MODEL_SERVICE],
                plain_services=[PLAIN_SERVICE],
                callers=callers,
            ),
            0,
        )
        print(f'ok    published the document as version {version}')
        await running.wait_ready()
        print(
            f'ok    {len(plan.entries)} entries and {len(plan.sidecars)}'
            ' sidecars are ready'
        )
        demo = Demo(running, callers[0])
        if hold_s:
            await _hold_fleet(plan, callers[0], hold_s)
        else:
            await demo.run()
        for vm in (
            *(entry.vm for entry in plan.entries),
            *(sidecar.vm for sidecar in plan.sidecars),
        ):
            process = running.group.processes[vm]
            process.terminate()
        for vm in (
            *(entry.vm for entry in plan.entries),
            *(sidecar.vm for sidecar in plan.sidecars),
        ):
            status = await running.group.processes[vm].stop(EXIT_TIMEOUT_S)
            if status != 0:
                print(f'WRONG {vm} ended with status {status}')
                demo.wrong_count += 1
        print('ok    stopped all daemons')
    return 1 if demo.wrong_count else 0


def main(arguments: list[str]) -> int:
    """Returns 1 if a check failed, else 0."""
    log_dir = pathlib.Path(arguments[1]) if len(arguments) > 1 else None
    return trio.run(run_demo, log_dir, _HOLD_S.value)


if __name__ == '__main__':
    app.run(main)
