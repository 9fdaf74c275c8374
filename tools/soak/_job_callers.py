"""Callers that submit batch jobs, read their results and cancel some."""

import base64
import random

import orjson
import trio

from siskinmount import results
from siskinmount import transport
from tools.soak import _observations
from tools.soak import _soak_fleet

SUBMIT_TIMEOUT_S = 4.0
READ_TIMEOUT_S = 3.0
RETRY_PAUSE_S = 0.3
READ_PAUSE_S = 0.3
MAX_SUBMISSIONS = 30
MAX_ITEMS = 6
CANCELLED_SHARE = 0.2
#: Time in which all members read the record of an accepted job; until then, a
#: member may answer that it does not know the job.
JOB_PROPAGATION_S = 1.0
_BODY = b'prompt'


class JobCaller:
    """Submits jobs one by one and reads the results of each until it ends."""

    __slots__ = ('_fleet', '_rng', '_name', '_count')

    def __init__(
        self, fleet: _soak_fleet.SoakFleet, seed: int, name: str
    ) -> None:
        self._fleet = fleet
        self._rng = random.Random(f'{seed} {name}')
        self._name = name
        self._count = 0

    async def run(self, until_s: float) -> None:
        """Submits jobs until the given time; returns when the last has ended."""
        while trio.current_time() < until_s:
            self._count += 1
            job_id = f'{self._name}-{self._count}'
            count = self._rng.randint(1, MAX_ITEMS)
            job = _observations.ObservedJob(
                job_id, [f'{job_id}-item{number}' for number in range(count)]
            )
            self._fleet.observed.jobs.append(job)
            await self._submit(job)
            if job.accepted_at_s is None:
                continue
            if self._rng.random() < CANCELLED_SHARE:
                await trio.sleep(self._rng.uniform(0, 0.3))
                await self._cancel(job)
                continue
            await self.follow(job)

    async def follow(self, job: _observations.ObservedJob) -> None:
        """Reads a job's results until all items are listed."""
        listed = 0
        while listed < len(job.item_ids):
            # Some reads begin at 0, as those of a restarted caller do.
            after = 0 if self._rng.random() < 0.3 else listed
            gateway = self._rng.choice(self._fleet.gateways)
            found = await read_results(gateway, job, after)
            if found is not None:
                listed = max(listed, after + len(found))
            await trio.sleep(READ_PAUSE_S)

    async def _submit(self, job: _observations.ObservedJob) -> None:
        """Submits a job, with retries, until a gateway accepts it."""
        items: list[dict[str, object]] = []
        for item_id in job.item_ids:
            items.append(
                {
                    'id': item_id,
                    'path': f'/batch/run/{item_id}',
                    'headers': {'X-Model': 'm', 'X-Token-Count': '5,5'},
                    'body': base64.b64encode(_BODY).decode('ascii'),
                    'token_count': 10,
                }
            )
        body = orjson.dumps({'items': items})
        for _ in range(MAX_SUBMISSIONS):
            gateway = self._rng.choice(self._fleet.gateways)
            status, _ = await _call(
                gateway,
                'POST',
                f'/batch/{job.job_id}',
                body,
                job.job_id,
                SUBMIT_TIMEOUT_S,
            )
            if status == 202:
                job.accepted_at_s = trio.current_time()
                return
            if status is None:
                job.unanswered_count += 1
            else:
                job.refusals.append(status)
            await trio.sleep(RETRY_PAUSE_S)

    async def _cancel(self, job: _observations.ObservedJob) -> None:
        """Cancels a job, with retries, until a gateway acknowledges it."""
        while job.ended_at_s is None:
            gateway = self._rng.choice(self._fleet.gateways)
            status, _ = await _call(
                gateway,
                'DELETE',
                f'/siskinmount/lots/{job.job_id}',
                b'',
                f'end-{job.job_id}',
                READ_TIMEOUT_S,
            )
            if status == 200:
                job.ended_at_s = trio.current_time()
                return
            await trio.sleep(RETRY_PAUSE_S)


async def read_results(
    gateway: _soak_fleet.SoakGateway, job: _observations.ObservedJob, after: int
) -> list[_observations.ObservedResult] | None:
    """Reads a job's results once and records them.

    Returns:
        The results from position `after` on; None without an answer of 200.
    """
    asked_at_s = trio.current_time()
    status, body = await _call(
        gateway,
        'GET',
        f'/siskinmount/lots/{job.job_id}?after={after}',
        b'',
        f'read-{job.job_id}',
        READ_TIMEOUT_S,
    )
    accepted_at_s = job.accepted_at_s
    if status in (404, 410) and accepted_at_s is not None:
        if asked_at_s > accepted_at_s + JOB_PROPAGATION_S:
            job.missing.append(
                f'{job.job_id} was {status} at gateway {gateway.number}'
            )
    if status != 200:
        return None
    found: list[_observations.ObservedResult] = []
    document = orjson.loads(body)
    if document['total_count'] != len(job.item_ids):
        job.missing.append(f'{job.job_id} has a count of other items')
    for row in document['results']:
        found.append(
            _observations.ObservedResult(
                row['id'], row['state'], row['output'] or ''
            )
        )
    job.reads.append((after, found))
    return found


async def _call(
    gateway: _soak_fleet.SoakGateway,
    method: str,
    target: str,
    body: bytes,
    request_id: str,
    timeout_s: float,
) -> tuple[int | None, bytes]:
    """Sends a call on a new connection; without a whole answer, no status."""
    client = transport.create_http_client(gateway.address)
    status: int | None = None
    content = b''
    with trio.move_on_after(timeout_s):
        answer = await client.send(
            transport.ClientRequest(
                method,
                target,
                [(b'x-request-id', request_id.encode())],
                body,
                _soak_fleet.HOST.encode(),
            )
        )
        if not isinstance(answer, results.Failure):
            with answer:
                whole = await answer.read_body(16 * 1024 * 1024)
            if not isinstance(whole, results.Failure):
                status = answer.status
                content = whole
    client.close()
    return status, content
