"""Tests of the log handler with a reader that does not read."""

import logging
import os

import testtools

from siskinmount import telemetry
from siskinmount.telemetry import _bounded_handler


class BoundedHandlerTest(testtools.TestCase):

    def test_slow_reader_does_not_block_the_writer(self):
        reader, writer = os.pipe()
        handler = telemetry.create_bounded_handler(writer)
        logger = logging.Logger('test')
        logger.addHandler(handler)
        line = 'x' * 4096
        for _ in range(400):
            logger.warning(line)
        dropped = handler.pop_dropped_count()
        self.assertGreater(dropped, 100)
        self.assertEqual(0, handler.pop_dropped_count())
        kept = 0
        while kept < (400 - dropped) * 4097:
            kept += len(os.read(reader, 1 << 20))
            handler.flush()
        self.assertEqual((400 - dropped) * 4097, kept)
        os.close(reader)
        logger.warning('nobody reads')
        os.close(writer)

    def test_rate_of_lines_below_warning_is_bounded(self):
        reader, writer = os.pipe()
        handler = telemetry.create_bounded_handler(writer)
        logger = logging.Logger('test')
        logger.addHandler(handler)
        # The lines allowed in five seconds, written in less time.
        for _ in range(5 * _bounded_handler.MAX_LINES_PER_SECOND):
            logger.info('')
        self.assertGreater(handler.pop_dropped_count(), 0)
        os.close(reader)
        os.close(writer)
