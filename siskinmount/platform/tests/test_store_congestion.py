"""Tests of members that load a large log from one store at the same time."""

import base64
import urllib.parse

import orjson
import testtools
import trio
import trio.testing

from siskinmount import keyed_log
from siskinmount import results
from siskinmount.platform import _store

#: A page of 1 MB at 80 MB/s.
_PAGE_S = 0.0125
_PAGES = 8
_TIMEOUT_S = 1.5
#: Waiting time above which the store refuses reads.
_MAX_QUEUE_S = 2.0


class _BusyStore:
    """Answers reads in turn, also those that nobody waits for any more."""

    def __init__(self):
        self.page_count = 0
        self._free_at_s = 0.0

    async def call(self, name, request, may_wait, receivers=None):
        if name == 'read':
            await trio.sleep(1.5)
            return 200, (_PAGES).to_bytes(8, 'big') + bytes(8)
        now_s = trio.current_time()
        waiting_s = max(0.0, self._free_at_s - now_s)
        if waiting_s > _MAX_QUEUE_S:
            return _create_failure('the store answered 503')
        self._free_at_s = now_s + waiting_s + _PAGE_S
        self.page_count += 1
        if waiting_s + _PAGE_S > _TIMEOUT_S:
            await trio.sleep(_TIMEOUT_S)
            return _create_failure('no data received')
        await trio.sleep(waiting_s + _PAGE_S)
        query = urllib.parse.parse_qs(request.target.partition('?')[2])
        number = int(query.get('after', ['-1'])[0]) + 1
        return 200, _make_page(number)


def _make_page(number):
    return orjson.dumps(
        {
            'items': [
                {
                    'key': str(number),
                    'value': base64.b64encode(b'v').decode(),
                    'offset': number,
                }
            ],
            'has_more': number + 1 < _PAGES,
            'end_offset': _PAGES,
        }
    )


def _create_failure(reason):
    return results.Failure(
        results.ResultCode.LOG_UNAVAILABLE, reason, results.RunState.NOT_RUN
    )


async def _sync_often(follower):
    """Calls `sync` as calls on jobs do that the follower does not know."""
    while True:
        with trio.move_on_after(2):
            await follower.sync()
        await trio.sleep(0.2)


class StoreCongestionTest(testtools.TestCase):

    def test_all_members_load_a_large_log_after_a_common_start(self):
        # Guards against reads that time out and start anew without end.
        loaded = []

        async def main():
            store = _BusyStore()
            followers = []
            async with trio.open_nursery() as nursery:
                for _ in range(94):
                    follower = keyed_log.create_log_follower(
                        'jobs', _store.TopicLog(store, 't', 0), lambda _: None
                    )
                    followers.append(follower)
                    nursery.start_soon(follower.run)
                    for _ in range(3):
                        nursery.start_soon(_sync_often, follower)
                await trio.sleep(30)
                nursery.cancel_scope.cancel()
            loaded.append(sum(each.is_loaded for each in followers))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual([94], loaded)

    def test_failed_read_continues_with_the_page_it_lacks(self):
        async def main():
            store = _BusyStore()
            log = _store.TopicLog(store, 't', 0)
            with trio.move_on_after(_PAGE_S * 3.5):
                await log.read_newest()
            page = await log.read_newest()
            self.assertEqual(
                [str(number) for number in range(_PAGES)],
                [record.key for record in page.records],
            )
            self.assertEqual(_PAGES, page.end_offset)
            self.assertEqual(_PAGES + 1, store.page_count)
            # Too late to continue.
            with trio.move_on_after(_PAGE_S * 3.5):
                await log.read_newest()
            await trio.sleep(_store.CONTINUED_READ_S + 1)
            await log.read_newest()
            self.assertEqual(2 * _PAGES + 5, store.page_count)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
