"""A table of jobs without a log."""

import trio


class FakeTable:
    """Fake of `JobTable`.

    Attributes:
        jobs: All jobs by id.
    """

    def __init__(self, *jobs):
        self.jobs = {job.job_id: job for job in jobs}

    def list_open(self):
        return [
            job
            for job in self.jobs.values()
            if job.open_items and not job.is_ended
        ]

    def has_open_items(self):
        return bool(self.list_open())

    async def wait_changed(self):
        await trio.sleep_forever()
