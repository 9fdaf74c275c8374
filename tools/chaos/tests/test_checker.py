"""Tests that the checker finds each kind of violation and no others."""

import testtools

from siskinmount import results
from standins import engine
from tools import chaos
from tools.chaos import _observations

KINDS = chaos.ViolationKind
NOT_RUN = results.Failure(results.ResultCode.OVERLOADED, 'full')
UNKNOWN = results.Failure(
    results.ResultCode.UPSTREAM_LOST, 'lost', results.RunState.UNKNOWN
)


def _create_online(**changes):
    """Returns an answered request with the given attributes changed."""
    request = _observations.OnlineObservation('online-1', 'a prompt', 5)
    request.tokens = engine.expected_tokens('a prompt', None, 5)
    request.is_complete = True
    for name, value in changes.items():
        setattr(request, name, value)
    return request


def _create_plain(answers=1, failures=(), lost_answer_count=0):
    call = _observations.PlainObservation('booking-1')
    for _ in range(answers):
        call.answers.append(_observations.PlainAnswer(201, b'{}'))
    call.failures.extend(failures)
    call.lost_answer_count = lost_answer_count
    call.is_settled = True
    return call


def _create_job(**changes):
    """Returns a finished job of two items with two equal readings.

    The given attributes are changed.
    """
    job = _observations.JobObservation('job-1', ['one', 'two'], 3)
    job.job_id = 'id'
    job.is_finished = True
    job.readings = [_read_items(job), _read_items(job)]
    for name, value in changes.items():
        setattr(job, name, value)
    return job


def _read_items(job):
    reading = []
    for index, prompt in enumerate(job.prompts):
        text = ''.join(engine.expected_tokens(prompt, None, job.max_tokens))
        reading.append(_observations.ItemResult(index, 'done', text))
    return reading


def _start(prompt, at_s=1.0, vm='s1'):
    return _observations.RequestStart(
        vm, engine.fingerprint_content(prompt), at_s
    )


class CheckerTest(testtools.TestCase):

    def find_kinds(self, **lists):
        """Returns the kinds of violations for the given observations."""
        observations = _observations.Observations()
        for name, value in lists.items():
            setattr(observations, name, value)
        return [
            violation.kind for violation in chaos.find_violations(observations)
        ]

    def test_good_run_has_no_violations(self):
        self.assertEqual(
            [],
            self.find_kinds(
                online=[_create_online()],
                plain=[_create_plain(answers=2)],
                jobs=[_create_job()],
                effects=[_observations.Effect('p1', 'booking-1')],
                starts=[_start('a prompt'), _start('one')],
            ),
        )

    def test_online_answers(self):
        whole = engine.expected_tokens('a prompt', None, 5)
        rows = [
            ({'tokens': whole[:4]}, [KINDS.WRONG_ANSWER]),
            ({'tokens': [*whole, whole[0]]}, [KINDS.WRONG_ANSWER]),
            ({'tokens': whole[1:]}, [KINDS.WRONG_ANSWER]),
            ({'tokens': whole[:4], 'is_complete': False}, [KINDS.UNANSWERED]),
            ({'tokens': [], 'is_complete': False}, [KINDS.UNANSWERED]),
            (
                {'tokens': [], 'is_complete': False, 'failures': [UNKNOWN]},
                [KINDS.UNANSWERED],
            ),
            (
                {
                    'tokens': [],
                    'is_complete': False,
                    'failures': [NOT_RUN],
                    'gave_up': True,
                },
                [],
            ),
            (
                {
                    'tokens': [],
                    'is_complete': False,
                    'failures': [UNKNOWN],
                    'gave_up': True,
                },
                [KINDS.UNANSWERED],
            ),
            (
                {
                    'failures': [
                        results.Failure(
                            results.ResultCode.REQUEST_CONVICTED, ''
                        )
                    ],
                },
                [KINDS.INNOCENT_CONVICTED],
            ),
        ]
        for changes, expected in rows:
            found = self.find_kinds(online=[_create_online(**changes)])
            self.assertEqual(expected, found, changes)

    def test_online_request_refused_as_not_run_that_ran(self):
        rows = [
            ([NOT_RUN], 0, [KINDS.FALSE_NOT_RUN]),
            ([NOT_RUN, NOT_RUN], 0, [KINDS.FALSE_NOT_RUN]),
            ([NOT_RUN], 1, []),
            ([UNKNOWN, NOT_RUN], 0, []),
        ]
        for failures, lost_answer_count, expected in rows:
            request = _create_online(
                tokens=[],
                is_complete=False,
                failures=failures,
                lost_answer_count=lost_answer_count,
                gave_up=True,
            )
            self.assertEqual(
                expected,
                self.find_kinds(online=[request], starts=[_start('a prompt')]),
            )

    def test_plain_effects(self):
        rows = [
            (_create_plain(), 2, [KINDS.DOUBLED_EFFECT]),
            (_create_plain(), 0, [KINDS.LOST_EFFECT]),
            (_create_plain(0, [NOT_RUN]), 1, [KINDS.FALSE_NOT_RUN]),
            (_create_plain(0, [NOT_RUN, UNKNOWN]), 1, []),
            (_create_plain(0, [NOT_RUN], 1), 1, []),
            (_create_plain(0, [NOT_RUN]), 0, []),
        ]
        for call, count, expected in rows:
            effects = [_observations.Effect('p1', call.name)] * count
            self.assertEqual(
                expected, self.find_kinds(plain=[call], effects=effects)
            )

    def test_plain_call_that_is_not_settled(self):
        call = _create_plain(0, [UNKNOWN])
        call.is_settled = False
        self.assertEqual([KINDS.UNANSWERED], self.find_kinds(plain=[call]))

    def test_plain_outcome_that_changes(self):
        call = _create_plain()
        call.answers.append(_observations.PlainAnswer(201, b'{"other": 1}'))
        effects = [_observations.Effect('p1', call.name)]
        self.assertEqual(
            [KINDS.CHANGED_OUTCOME],
            self.find_kinds(plain=[call], effects=effects),
        )

    def test_job_results(self):
        good = _read_items(_create_job())
        wrong = [good[0], _observations.ItemResult(1, 'done', 'other')]
        failed = [good[0], _observations.ItemResult(1, 'failed', '')]
        rows = [
            ({'is_finished': False}, [KINDS.JOB_UNFINISHED]),
            ({'job_id': ''}, [KINDS.JOB_UNFINISHED]),
            ({'job_id': '', 'gave_up': True}, []),
            ({'readings': []}, [KINDS.ITEM_RESULT]),
            ({'readings': [good[:1]]}, [KINDS.ITEM_RESULT]),
            ({'readings': [[*good, good[0]]]}, [KINDS.ITEM_RESULT]),
            ({'readings': [wrong]}, [KINDS.ITEM_RESULT]),
            ({'readings': [failed]}, [KINDS.ITEM_RESULT]),
            # Missing in the last reading, and changed since the first.
            ({'readings': [good, good[:1]]}, [KINDS.ITEM_RESULT] * 2),
        ]
        for changes, expected in rows:
            found = self.find_kinds(jobs=[_create_job(**changes)])
            self.assertEqual(expected, found, changes)

    def test_plain_job_effects(self):
        done = _observations.ItemResult(0, 'done', '')
        lost = _observations.ItemResult(1, 'unknown', '')
        for counts, expected in (
            ((1, 1), []),
            ((1, 0), []),
            ((0, 0), [KINDS.LOST_EFFECT]),
            ((1, 2), [KINDS.DOUBLED_EFFECT]),
        ):
            job = _create_job(is_plain=True, readings=[[done, lost]])
            effects = []
            for name, count in zip(job.prompts, counts, strict=True):
                effects += [_observations.Effect('p1', name)] * count
            found = self.find_kinds(jobs=[job], effects=effects)
            self.assertEqual(expected, found, counts)

    def test_cancelled_job(self):
        job = _create_job(cancelled_at_s=10.0, readings=[], is_finished=False)
        for at_s, expected in (
            (9.0, []),
            (12.5, []),
            (13.5, [KINDS.STARTED_AFTER_CANCEL]),
        ):
            starts = [_start('two', at_s)]
            self.assertEqual(
                expected, self.find_kinds(jobs=[job], starts=starts)
            )

    def test_work_after_leaving(self):
        leaving_spans = [_observations.Span('s1', 10.0, 30.0)]
        for vm, at_s, expected in (
            ('s1', 14.0, []),
            ('s1', 16.0, [KINDS.WORK_AFTER_LEAVING]),
            ('s2', 16.0, []),
            ('s1', 31.0, []),
        ):
            starts = [_start('x', at_s, vm)]
            self.assertEqual(
                expected,
                self.find_kinds(leaving_spans=leaving_spans, starts=starts),
            )

    def test_configuration(self):
        publications = [_observations.Publication(5, 2, 100.0)]
        rows = [
            ([('e1', 1, 2, 104.0), ('e1', 1, 5, 105.0)], []),
            ([('e1', 1, 2, 105.5)], [KINDS.CONFIGURATION]),
            ([('e1', 1, 5, 103.0), ('e1', 1, 2, 104.0)], [KINDS.CONFIGURATION]),
            ([('e1', 1, 5, 103.0), ('e1', 2, 2, 104.0)], []),
        ]
        for tuples, expected in rows:
            version_reports = [
                _observations.VersionReport(*fields) for fields in tuples
            ]
            self.assertEqual(
                expected,
                self.find_kinds(
                    publications=publications, version_reports=version_reports
                ),
            )

    def test_configuration_may_be_late_after_a_fault(self):
        publications = [_observations.Publication(5, 2, 100.0)]
        version_reports = [_observations.VersionReport('e1', 1, 2, 112.0)]
        for vm, end_s, expected in (
            ('e1', 108.0, []),
            ('*', 108.0, []),
            ('e2', 108.0, [KINDS.CONFIGURATION]),
            ('e1', 106.0, [KINDS.CONFIGURATION]),
        ):
            fault_spans = [_observations.Span(vm, 99.0, end_s)]
            found = self.find_kinds(
                publications=publications,
                version_reports=version_reports,
                fault_spans=fault_spans,
            )
            self.assertEqual(expected, found, (vm, end_s))

    def test_two_publications_accepted_on_one_base_version(self):
        publications = [
            _observations.Publication(5, 2, 100.0),
            _observations.Publication(6, 2, 100.0),
        ]
        self.assertEqual(
            [KINDS.CONFIGURATION], self.find_kinds(publications=publications)
        )

    def test_processes(self):
        rows = [
            ({'invariant_lines': ['x']}, KINDS.INVARIANT),
            ({'fault_lines': ['x']}, KINDS.DAEMON_FAULT),
            ({'failed_stops': ['x']}, KINDS.PLANNED_STOP),
            ({'engine_crashes': 1}, KINDS.POISON_SPREAD),
        ]
        for lists, expected in rows:
            self.assertEqual([expected], self.find_kinds(**lists))

    def test_poison_bound(self):
        poison = _observations.OnlineObservation('poison', 'p', 5, True)
        for crashes, expected in ((2, []), (3, [KINDS.POISON_SPREAD])):
            found = self.find_kinds(
                online=[poison, poison], engine_crashes=crashes
            )
            self.assertEqual(expected, found)

    def test_planned_stop_that_cuts_an_answer(self):
        stops = [_observations.Span('e1', 10.0, 20.0)]
        for vm, at_s, expected in (
            ('e1', 15.0, [KINDS.PLANNED_STOP]),
            ('e1', 25.0, []),
            ('e2', 15.0, []),
        ):
            request = _create_online(
                broken_connections=[_observations.BrokenConnection(vm, at_s)]
            )
            found = self.find_kinds(online=[request], planned_stop_spans=stops)
            self.assertEqual(expected, found)
