"""Tests of signals that come while a gateway starts."""

import os
import signal

import testtools
import trio
import trio.testing

from siskinmount import _reload_signal
from siskinmount.gateway import _process_signals


class ProcessSignalsTest(testtools.TestCase):

    def setUp(self):
        super().setUp()
        earlier = signal.getsignal(signal.SIGHUP)
        self.addCleanup(signal.signal, signal.SIGHUP, earlier)
        self.addCleanup(_reload_signal.take_held)

    def test_reload_signal_during_the_start_ends_no_gateway_and_is_followed(
        self,
    ):
        _reload_signal.hold(['siskinmount', 'gateway'])
        os.kill(os.getpid(), signal.SIGHUP)
        reloads = []

        async def main():
            signals = _process_signals.create_system_signals()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    signals.watch_reload, lambda: reloads.append(True)
                )
                await trio.testing.wait_all_tasks_blocked()
                self.assertEqual([True], reloads)
                os.kill(os.getpid(), signal.SIGHUP)
                while len(reloads) < 2:
                    await trio.lowlevel.checkpoint()
                nursery.cancel_scope.cancel()

        trio.run(main)
        self.assertEqual([True, True], reloads)

    def test_commands_that_do_not_reload_keep_the_default(self):
        signal.signal(signal.SIGHUP, signal.SIG_DFL)
        _reload_signal.hold(['siskinmount', 'publish'])
        self.assertIs(signal.SIG_DFL, signal.getsignal(signal.SIGHUP))
