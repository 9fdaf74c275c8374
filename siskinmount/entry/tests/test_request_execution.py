"""Tests of request executions against scripted sidecars over real sockets."""

import testtools
import trio

from siskinmount import membership
from siskinmount import relay
from siskinmount import results
from siskinmount import transport
from siskinmount.entry import _request_execution
from siskinmount.entry.tests import scripted_sidecar

_DISCONNECT = scripted_sidecar.ScriptedSidecar.DISCONNECT


def _tokens(*indices):
    return [relay.TokenFrame(index, f't{index}') for index in indices]


def _failed(code, run_state, generation=0, was_alone=False):
    return relay.FailureFrame(
        results.Failure(code, 'scripted', run_state), generation, was_alone
    )


_LOST = _failed(
    results.ResultCode.UPSTREAM_LOST, results.RunState.RAN, generation=1
)
_LOST_ALONE = _failed(
    results.ResultCode.UPSTREAM_LOST,
    results.RunState.RAN,
    generation=1,
    was_alone=True,
)
_LEAVING = results.Failure(results.ResultCode.LEAVING, 'leaving')
_END = relay.EndFrame('stop', 1, 3)


class RequestExecutionTest(testtools.TestCase):

    def run_request(self, sidecars, crashes_meanwhile=0, **request_fields):
        """Returns the frames, the failure, the execution and its access."""
        outcome = {}

        async def main():
            table = membership.create_member_table()
            async with trio.open_nursery() as nursery:
                for sidecar in sidecars:
                    server = transport.create_http_server(sidecar.handle)
                    address = await nursery.start(
                        server.run, transport.Address('127.0.0.1', 0)
                    )
                    table.apply_heartbeat(
                        scripted_sidecar.create_member(sidecar, address)
                    )
                access = scripted_sidecar.create_access(table)
                execution = _request_execution.RequestExecution(
                    access,
                    scripted_sidecar.create_run_request(**request_fields),
                )
                if crashes_meanwhile:
                    access.record_test_crash('x', alone=False)
                    nursery.start_soon(self._add_crashes, access)
                with trio.fail_after(20):
                    outcome['frames'], outcome['failure'] = await self._drain(
                        execution
                    )
                execution.close()
                outcome['run'] = execution
                outcome['access'] = access
                nursery.cancel_scope.cancel()

        trio.run(main)
        return outcome

    async def _add_crashes(self, access):
        await trio.sleep(0.2)
        access.record_test_crash('y', alone=True)

    async def _drain(self, execution):
        received = []
        while True:
            frames = await execution.receive_frames()
            if isinstance(frames, results.Failure):
                return received, frames
            received.extend(frames)
            if isinstance(frames[-1], relay.EndFrame):
                return received, None

    def assert_complete(self, outcome, texts=('t0', 't1', 't2')):
        self.assertIsNone(outcome['failure'])
        received = [
            frame.text
            for frame in outcome['frames']
            if isinstance(frame, relay.TokenFrame)
        ]
        self.assertEqual(list(texts), received)

    def test_lost_run_resumes_at_another_upstream_without_gap_or_repeat(self):
        first = scripted_sidecar.ScriptedSidecar('a')
        second = scripted_sidecar.ScriptedSidecar('b')
        # The upstream that is chosen first fails; the other one resumes.
        shared = [[*_tokens(0, 1), _LOST], [*_tokens(2), _END]]
        first.scripts = second.scripts = shared
        outcome = self.run_request([first, second])
        self.assert_complete(outcome)
        runs = first.runs + second.runs
        self.assertIn((['t0', 't1'], 2), runs)
        # The suspect request is retried alone and cleared when it completes.
        self.assertEqual({None, '1'}, {*first.solos, *second.solos})
        self.assertFalse(outcome['access'].is_suspect('f'))

    def test_lost_connection_reattaches_to_the_same_run(self):
        sidecar = scripted_sidecar.ScriptedSidecar(
            'a', [*_tokens(0), _DISCONNECT]
        )
        sidecar.attach_scripts = [[*_tokens(1, 2), _END]]
        outcome = self.run_request([sidecar])
        self.assert_complete(outcome)
        self.assertEqual(1, len(sidecar.runs))
        self.assertEqual([1], sidecar.attaches)

    def test_repeated_tokens_are_dropped(self):
        sidecar = scripted_sidecar.ScriptedSidecar(
            'a', [*_tokens(0, 0, 1, 0, 1, 2), _END]
        )
        self.assert_complete(self.run_request([sidecar]))

    def test_refused_request_fails_over_without_counting_an_attempt(self):
        shared = [_LEAVING, [*_tokens(0, 1, 2), _END]]
        sidecars = [
            scripted_sidecar.ScriptedSidecar('a'),
            scripted_sidecar.ScriptedSidecar('b'),
        ]
        for sidecar in sidecars:
            sidecar.scripts = shared
        outcome = self.run_request(sidecars)
        self.assert_complete(outcome)
        self.assertEqual(1, outcome['run'].attempts)

    def test_request_refused_everywhere_returns_not_run_and_last_refusal(self):
        sidecar = scripted_sidecar.ScriptedSidecar('a', _LEAVING)
        failure = self.run_request([sidecar])['failure']
        self.assertEqual(results.ResultCode.LEAVING, failure.code)
        self.assertIs(results.RunState.NOT_RUN, failure.run_state)

    def test_non_idempotent_request_is_sent_once(self):
        unknown = _failed(
            results.ResultCode.UPSTREAM_LOST, results.RunState.UNKNOWN
        )
        sidecars = [
            scripted_sidecar.ScriptedSidecar('a', [unknown]),
            scripted_sidecar.ScriptedSidecar('b', [unknown]),
        ]
        failure = self.run_request(sidecars, idempotent=False)['failure']
        self.assertIs(results.RunState.UNKNOWN, failure.run_state)
        self.assertEqual(1, len(sidecars[0].runs) + len(sidecars[1].runs))

    def test_withdrawn_request_may_run_elsewhere(self):
        """A sidecar that never received the request refuses it from now on."""
        shared = [[_DISCONNECT], [*_tokens(0, 1, 2), _END]]
        sidecars = [
            scripted_sidecar.ScriptedSidecar('a'),
            scripted_sidecar.ScriptedSidecar('b'),
        ]
        for sidecar in sidecars:
            sidecar.scripts = shared
        outcome = self.run_request(sidecars, idempotent=False)
        self.assert_complete(outcome)
        self.assertEqual(1, len(sidecars[0].cancels) + len(sidecars[1].cancels))

    def test_restarted_sidecar_leaves_the_outcome_unknown(self):
        sidecar = scripted_sidecar.ScriptedSidecar('a', [_DISCONNECT])
        original = sidecar._headers

        def newer_headers():
            if sidecar.runs:
                sidecar.incarnation = 8
            return original()

        sidecar._headers = newer_headers
        failure = self.run_request([sidecar], idempotent=False)['failure']
        self.assertIs(results.RunState.UNKNOWN, failure.run_state)

    def test_request_is_quarantined_after_two_crashes(self):
        shared = [[_LOST], [_LOST_ALONE], [*_tokens(0, 1, 2), _END]]
        sidecars = []
        for vm in 'abc':
            sidecar = scripted_sidecar.ScriptedSidecar(vm)
            sidecar.scripts = shared
            sidecars.append(sidecar)
        outcome = self.run_request(sidecars)
        self.assertEqual(
            results.ResultCode.REQUEST_CONVICTED, outcome['failure'].code
        )
        self.assertEqual(1, len(shared))

    def test_waiting_request_is_cancelled_when_a_copy_is_quarantined(self):
        """The request waits at a sidecar while a copy crashes two upstreams."""
        sidecar = scripted_sidecar.ScriptedSidecar('a')
        sidecar.scripts = [[scripted_sidecar.ScriptedSidecar.HANG]]
        outcome = self.run_request([sidecar], crashes_meanwhile=2)
        self.assertEqual(
            results.ResultCode.REQUEST_CONVICTED, outcome['failure'].code
        )
        self.assertEqual(['r1'], sidecar.cancels)

    def test_resume_attaches_to_the_run_and_skips_received_tokens(self):
        sidecars = [
            scripted_sidecar.ScriptedSidecar('a'),
            scripted_sidecar.ScriptedSidecar('b'),
        ]
        sidecars[1].attach_scripts = [[*_tokens(0, 1, 2), _END]]
        outcome = self.run_request(sidecars, first_token=2)
        self.assert_complete(outcome, ('t2',))
        self.assertEqual([], sidecars[0].runs + sidecars[1].runs)

    def test_lost_run_resumes_after_the_tokens_that_the_caller_sends(self):
        sidecar = scripted_sidecar.ScriptedSidecar('a', [*_tokens(2), _END])
        outcome = self.run_request(
            [sidecar], first_token=2, answer_so_far=['t0', 't1']
        )
        self.assert_complete(outcome, ('t2',))
        self.assertEqual([(['t0', 't1'], 2)], sidecar.runs)

    def test_live_run_is_attached_to_even_if_the_caller_sends_tokens(self):
        sidecar = scripted_sidecar.ScriptedSidecar('a')
        sidecar.attach_scripts = [[*_tokens(2), _END]]
        outcome = self.run_request(
            [sidecar], first_token=2, answer_so_far=['t0', 't1']
        )
        self.assert_complete(outcome, ('t2',))
        self.assertEqual(([], [2]), (sidecar.runs, sidecar.attaches))

    def test_resume_of_an_unknown_run_does_not_start_one(self):
        sidecar = scripted_sidecar.ScriptedSidecar('a')
        failure = self.run_request([sidecar], first_token=2)['failure']
        self.assertEqual(results.ResultCode.NO_SUCH_REQUEST, failure.code)
        self.assertEqual([], sidecar.runs)

    def test_lost_run_names_the_version_that_wrote_its_tokens(self):
        shared = [
            [relay.TokenFrame(0, 't0', 'v1'), *_tokens(1), _LOST],
            [relay.TokenFrame(2, 't2', 'v1'), _END],
        ]
        sidecars = [
            scripted_sidecar.ScriptedSidecar('a'),
            scripted_sidecar.ScriptedSidecar('b'),
        ]
        for sidecar in sidecars:
            sidecar.scripts = shared
        outcome = self.run_request(sidecars)
        self.assert_complete(outcome)
        self.assertEqual('v1', outcome['run'].software_version)
        versions = sidecars[0].resume_versions + sidecars[1].resume_versions
        self.assertEqual(['', 'v1'], sorted(versions))

    def test_upstreams_of_another_version_do_not_go_on_with_a_response(self):
        refusal = results.Failure(
            results.ResultCode.STREAM_VERSION_UNAVAILABLE, 'another version'
        )
        sidecars = []
        for number in range(9):
            sidecar = scripted_sidecar.ScriptedSidecar(f's{number}')
            sidecar.version = 'v1' if number == 4 else 'v2'
            sidecar.scripts = [refusal]
            if number == 4:
                sidecar.scripts = [[relay.TokenFrame(2, 't2', 'v1'), _END]]
            sidecars.append(sidecar)
        outcome = self.run_request(
            sidecars,
            first_token=2,
            answer_so_far=['t0', 't1'],
            answer_version='v1',
        )
        # All have told their versions while the run was looked for.
        self.assert_complete(outcome, ('t2',))
        self.assertEqual(['v1'], sidecars[4].resume_versions)

    def test_response_that_no_upstream_may_go_on_with_is_refused(self):
        refusal = results.Failure(
            results.ResultCode.STREAM_VERSION_UNAVAILABLE, 'another version'
        )
        sidecar = scripted_sidecar.ScriptedSidecar('a', refusal)
        failure = self.run_request(
            [sidecar], first_token=2, answer_so_far=['t0', 't1']
        )['failure']
        self.assertEqual(
            results.ResultCode.STREAM_VERSION_UNAVAILABLE, failure.code
        )
        self.assertIs(results.RunState.NOT_RUN, failure.run_state)
