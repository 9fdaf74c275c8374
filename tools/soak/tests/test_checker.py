"""Tests that each violation is found and correct records are accepted."""

import functools

import testtools
import trio
import trio.testing

from standins import event_engine
from tools.soak import _checker
from tools.soak import _observations


def _answer(request_id, count=_checker.EVENT_COUNT):
    return b''.join(
        event_engine.make_event(request_id, n) for n in range(1, count + 1)
    )


def _output(item_id):
    return '\n'.join(
        f'{item_id}-{n}' for n in range(1, _checker.EVENT_COUNT + 1)
    )


class CheckerTest(testtools.TestCase):

    def _find(self, arrange):
        """Returns the kinds of violations in the records that a case creates."""

        async def main():
            await trio.sleep(100)
            observed = _observations.Observations(2)
            engine = event_engine.create_event_engine('e')
            observed.engines.append(engine)
            arrange(observed, engine)
            return _checker.find_violations(observed)

        violations = trio.run(
            main, clock=trio.testing.MockClock(autojump_threshold=0)
        )
        return [violation.partition(':')[0] for violation in violations]

    def _run(self, engine, request_id, later_s=0.0):
        run = event_engine.EngineRun(request_id, '/', b'', {}, 1)
        run.began_at_s += later_s
        engine.runs.append(run)

    def _call(self, observed, kind, status, body, is_whole=True, took_s=1.0):
        call = _observations.ObservedCall('r', kind, 0)
        call.status = status
        call.body = body
        call.is_whole = is_whole
        call.ended_at_s = call.sent_at_s + took_s
        observed.calls.append(call)

    def test_stream_of_two_versions(self):
        def make(versions, first=1):
            return b''.join(
                event_engine.make_event('r', first + n, version)
                for n, version in enumerate(versions)
            )

        cases = [
            # Versions of the first answer, of the rest, found.
            (['v1', 'v1'], ['v1'], []),
            (['v1', 'v2'], ['v1'], ['versions']),
            (['v1', 'v1'], ['v2'], ['versions']),
            (['', ''], [''], []),
        ]
        for first_versions, rest_versions, found in cases:

            def arrange(
                observed,
                engine,
                first_versions=first_versions,
                rest_versions=rest_versions,
            ):
                kind = _observations.CallKind.STREAM
                self._call(observed, kind, 200, make(first_versions), False)
                first = observed.calls[-1]
                self._call(observed, kind, 200, make(rest_versions, 3), False)
                rest = observed.calls[-1]
                rest.first = first
                rest.last_event_id = first.get_last_event_id()
                self.assertEqual(2, rest.last_event_id)

            self.assertEqual(found, self._find(arrange), first_versions)

    def test_item_of_two_versions(self):
        for versions, found in (
            (['v1'] * _checker.EVENT_COUNT, []),
            (['v1'] * 3 + ['v2'] * (_checker.EVENT_COUNT - 3), ['versions']),
        ):

            def arrange(observed, engine, versions=versions):
                job = _observations.ObservedJob('j', ['i'])
                job.accepted_at_s = 1.0
                output = '\n'.join(
                    f'i-{n + 1}@{version}' for n, version in enumerate(versions)
                )
                result = _observations.ObservedResult('i', 'completed', output)
                job.reads.append((0, [result]))
                observed.jobs.append(job)

            self.assertEqual(found, self._find(arrange), versions)

    def test_engine_that_gets_more_than_its_rate(self):
        cases = [
            # Requests, time between them, disturbance of the gateway, found.
            (18, 0.1, False, ['limit']),
            (17, 0.1, False, []),
            (18, 0.1, True, []),
            (18, 0.5, False, []),
        ]
        for count, pause_s, is_disturbed, expected in cases:

            def arrange(
                observed,
                engine,
                count=count,
                pause_s=pause_s,
                is_disturbed=is_disturbed,
            ):
                observed.limits.append(_observations.NamedLimit('e', 2.0))
                if is_disturbed:
                    observed.gateway_disturbances[0].append(
                        _observations.Disturbance(trio.current_time())
                    )
                for number in range(count):
                    name = f'r{number}'
                    call = _observations.ObservedCall(
                        name, _observations.CallKind.PLAIN, 0
                    )
                    call.ended_at_s = call.sent_at_s
                    observed.calls.append(call)
                    self._run(engine, name, 4 + number * pause_s)

            self.assertEqual(expected, self._find(arrange))

    def _job(self, observed, results=None, ended=False, accepted=True):
        job = _observations.ObservedJob('j', ['i'])
        if accepted:
            job.accepted_at_s = trio.current_time()
        else:
            job.refusals.append(503)
        if ended:
            job.ended_at_s = trio.current_time()
        for after, found in results or []:
            job.reads.append((after, found))
        observed.jobs.append(job)

    def _arrange_call(self, observed, engine, answer, runs):
        for _ in range(runs):
            self._run(engine, 'r')
        self._call(observed, *answer)

    def _arrange_job(self, observed, engine, results, ended):
        self._job(observed, results, ended)

    def test_calls(self):
        kinds = _observations.CallKind
        whole = _answer('r')
        cases = [
            ('right', kinds.STREAM, 200, whole, True, 1.0, 1, []),
            ('cut', kinds.STREAM, 200, _answer('r', 3), False, 1.0, 1, []),
            ('resumed', kinds.STREAM, 200, whole, True, 1.0, 2, []),
            ('plain', kinds.PLAIN, 200, b'answer to r', True, 1.0, 2, []),
            ('lost', kinds.BOOKING, None, b'', False, 1.0, 1, []),
            ('refused', kinds.BOOKING, 503, b'{}', True, 1.0, 0, []),
            ('twice', kinds.BOOKING, 502, b'', True, 1.0, 2, ['twice']),
            ('untrue', kinds.ONCE_STREAM, 503, b'', True, 1.0, 1, ['refused']),
            (
                'short',
                kinds.STREAM,
                200,
                _answer('r', 3),
                True,
                1.0,
                1,
                ['answer'],
            ),
            (
                'gap',
                kinds.STREAM,
                200,
                event_engine.make_event('r', 2),
                False,
                1.0,
                1,
                ['order'],
            ),
            ('late', kinds.STREAM, 504, b'', True, 6.5, 1, ['late']),
        ]
        for name, *answer, runs, found in cases:
            arrange = functools.partial(
                self._arrange_call, answer=answer, runs=runs
            )
            self.assertEqual(found, self._find(arrange), name)

    def test_late_answer_of_a_disturbed_gateway_is_accepted(self):
        def arrange(observed, engine):
            observed.gateway_disturbances[0].append(
                _observations.Disturbance(trio.current_time())
            )
            self._call(
                observed, _observations.CallKind.STREAM, None, b'', False, 7
            )

        self.assertEqual([], self._find(arrange))

    def test_jobs(self):
        done = _observations.ObservedResult('i', 'completed', _output('i'))
        given_up = _observations.ObservedResult('i', 'dead_letter', '')
        other = _observations.ObservedResult('i', 'completed', 'other')
        foreign = _observations.ObservedResult('x', 'completed', _output('x'))
        cases = [
            ('right', [(0, [done]), (0, [done])], False, []),
            ('given up at the end', [(0, [given_up])], True, []),
            ('nothing at the end', [], True, []),
            ('lost', [(0, [])], False, ['lost']),
            ('given up', [(0, [given_up])], False, ['result']),
            ('other text', [(0, [other])], False, ['result']),
            ('foreign', [(0, [foreign]), (1, [done])], False, ['result']),
            ('twice', [(0, [done]), (1, [done])], False, ['twice']),
            ('changed', [(0, [done]), (0, [other])], False, ['position']),
        ]
        for name, results, ended, found in cases:
            arrange = functools.partial(
                self._arrange_job, results=results, ended=ended
            )
            self.assertEqual(found, self._find(arrange), name)

    def test_refused_and_ended_jobs_do_not_run(self):
        def refused(observed, engine):
            self._job(observed, accepted=False)
            self._run(engine, 'i')

        def ended(observed, engine):
            self._job(observed, ended=True)
            self._run(engine, 'i', later_s=2.9)
            self._run(engine, 'i', later_s=3.1)

        self.assertEqual(['refused'], self._find(refused))
        self.assertEqual(['ended'], self._find(ended))

    def test_work_at_a_leaving_engine(self):
        def arrange(observed, engine):
            observed.leaving.append(_observations.LeavingEngine('e'))
            self._call(
                observed, _observations.CallKind.PLAIN, 200, b'answer to r'
            )
            self._run(engine, 'r', later_s=2.0)
            self._run(engine, 'r', later_s=3.0)

        def disturbed(observed, engine):
            observed.store_disturbances.append(
                _observations.Disturbance(trio.current_time())
            )
            arrange(observed, engine)

        self.assertEqual(['leaving'], self._find(arrange))
        self.assertEqual([], self._find(disturbed))

    def test_requests_after_an_answer_that_says_that_the_engine_leaves(self):
        def arrange(observed, engine, sent_later_s=2.5, gateway=0):
            self._call(
                observed, _observations.CallKind.PLAIN, 200, b'answer to r'
            )
            first = observed.calls[-1]
            first.leaving_engine = 'e'
            first.head_at_s = first.sent_at_s
            self._run(engine, 'r')
            late = _observations.ObservedCall(
                'late', _observations.CallKind.PLAIN, gateway
            )
            late.sent_at_s = first.sent_at_s + sent_later_s
            late.status, late.is_whole = 200, True
            late.body = b'answer to late'
            late.ended_at_s = late.sent_at_s
            observed.calls.append(late)
            self._run(engine, 'late', later_s=sent_later_s)
            # An outage of the store excuses nothing.
            observed.store_disturbances.append(
                _observations.Disturbance(first.sent_at_s)
            )

        def soon(observed, engine):
            arrange(observed, engine, sent_later_s=1.5)

        def elsewhere(observed, engine):
            arrange(observed, engine, gateway=1)

        def restarted(observed, engine):
            arrange(observed, engine)
            observed.gateway_disturbances[0].append(
                _observations.Disturbance(trio.current_time())
            )

        self.assertEqual(['announced'], self._find(arrange))
        for allowed in (soon, elsewhere, restarted):
            self.assertEqual([], self._find(allowed), allowed.__name__)

    def test_unasked_runs_and_faults_of_processes(self):
        def arrange(observed, engine):
            self._run(engine, 'nobody')
            observed.process_faults.append('ended by itself')

        self.assertEqual(['process', 'unasked'], self._find(arrange))
