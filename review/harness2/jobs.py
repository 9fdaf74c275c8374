"""Clients that submit, read and end batch jobs."""

import asyncio
import base64
import json
import random
import time
import urllib.parse

import fleet as fleet_module
import wire

#: Time limit of a client's attempt, and what a read waits beyond it.
DEADLINE_S = 4.0
READ_EXTRA_S = 1.5
READ_INTERVAL_S = 0.5


class Job:
    """A batch job of a client.

    Attributes:
        job_id: Its id, as the client names it.
        item_ids: Ids of its items.
        statuses: What the attempts to submit it were answered; None for none.
        accepted_at_s: Monotonic time of its 202; None without one.
        results: State and output by item, as far as they were read.
    """

    def __init__(
        self, job_id: str, item_count: int, body_bytes: int = 900
    ) -> None:
        self.job_id = job_id
        stem = f'{random.getrandbits(48):012x}'
        self.item_ids = [f'{stem}{number:04x}' for number in range(item_count)]
        self.statuses: list[int | None] = []
        self.accepted_at_s: float | None = None
        self.results: dict[str, tuple[str, str]] = {}
        self._body_bytes = body_bytes

    def encode(self, route_name: str) -> bytes:
        """Returns the body of the submission."""
        items = [
            {
                'id': item_id,
                'path': f'/{route_name}/{item_id}',
                'headers': {'X-Model': 'm', 'X-Token-Count': '350,1690'},
                'body': base64.b64encode(
                    random.randbytes(self._body_bytes)
                ).decode(),
                'token_count': 2_040,
            }
            for item_id in self.item_ids
        ]
        return json.dumps({'items': items}).encode()


async def submit(
    record: fleet_module.Record,
    gateways: list[fleet_module.Gateway],
    route_name: str,
    job: Job,
    attempts: int = 2,
) -> None:
    """Submits a job, and again at another gateway without a 202 or a 4xx."""
    body = job.encode(route_name)
    for gateway in gateways[:attempts]:
        answer = await wire.call(
            gateway.front,
            'POST',
            f'/{route_name}/{job.item_ids[0]}',
            {
                'Host': fleet_module.HOST,
                'X-Request-Id': job.job_id,
                'X-Deadline-Ms': str(int(DEADLINE_S * 1000)),
                'Content-Type': 'application/json',
            },
            body,
            DEADLINE_S,
        )
        status = answer.status if answer is not None else None
        job.statuses.append(status)
        record.write(
            f'client: submit {job.job_id!r} at gateway {gateway.number}:'
            f' {status}'
        )
        if status == 202:
            job.accepted_at_s = time.monotonic()
            return
        if status is not None and status < 500 and status != 429:
            return


async def read(
    gateway: fleet_module.Gateway, job: Job, after: int = 0
) -> wire.Answer | None:
    """Reads results of a job from a position on."""
    # The id stands in a header as the characters of its bytes.
    name = urllib.parse.quote(job.job_id.encode('latin-1'), safe='')
    return await wire.call(
        gateway.front,
        'GET',
        f'/siskinmount/lots/{name}?after={after}',
        {'Host': fleet_module.HOST, 'X-Request-Id': f'r-{time.monotonic()}'},
        timeout_s=DEADLINE_S + READ_EXTRA_S,
    )


async def read_whole(gateway: fleet_module.Gateway, job: Job) -> int | None:
    """Reads all results of a job; returns the last status."""
    after = 0
    while True:
        answer = await read(gateway, job, after)
        if answer is None or answer.status != 200 or not answer.is_whole:
            return answer.status if answer is not None else None
        page = answer.json()
        for row in page['results']:
            job.results[row['id']] = (row['state'], row['output'])
        if not page['results']:
            return 200
        after = page['next']


async def wait_listed(
    gateways: list[fleet_module.Gateway], rows: list[Job], until_s: float
) -> list[Job]:
    """Reads jobs until all items are listed; returns those that are not."""
    open_jobs = list(rows)
    while open_jobs and time.monotonic() < until_s:
        for number, job in enumerate(list(open_jobs)):
            await read_whole(gateways[number % len(gateways)], job)
            if len(job.results) == len(job.item_ids):
                open_jobs.remove(job)
        await asyncio.sleep(READ_INTERVAL_S)
    return open_jobs
