"""Sends load to servers and prints the measured latencies and outcomes."""

import pathlib
import time

from absl import app
from absl import flags
import orjson
import trio

from siskinmount import results
from siskinmount import transport
from tools import load

_TARGETS = flags.DEFINE_list('target', [], 'Addresses, which take turns.')
_WIRE = flags.DEFINE_enum_class(
    'wire', load.WireKind.CALLER, load.WireKind, 'What the targets are.'
)
_SERVICE = flags.DEFINE_string('service', 'model', 'Name of the service.')
_KEY = flags.DEFINE_string('key', '', "The caller's key.")
_CLASS = flags.DEFINE_enum(
    'class', 'online', ['online', 'batch'], 'Class of requests to a sidecar.'
)
_RATE = flags.DEFINE_float('rate', 5.0, 'Mean requests per second.')
_DURATION_S = flags.DEFINE_float('duration_s', 10.0, 'Length of the run.')
_WARM_UP_S = flags.DEFINE_float(
    'warm_up_s', 0.0, 'Requests sent before this are not measured.'
)
_START_AT_S = flags.DEFINE_float(
    'start_at_s', 0.0, 'When to begin, in seconds since the Unix epoch.'
)
_SEED = flags.DEFINE_integer('seed', 1, 'Decides all requests and times.')
_LABEL = flags.DEFINE_string('label', 'load', 'Start of each request id.')
_BURST_FACTOR = flags.DEFINE_float(
    'burst_factor', 1.0, 'Rate within a burst, as a multiple; 1 for none.'
)
_BURST_S = flags.DEFINE_float('burst_s', 1.0, 'Mean length of a burst.')
_QUIET_S = flags.DEFINE_float('quiet_s', 5.0, 'Mean time between bursts.')
_DAY_S = flags.DEFINE_float('day_s', 0.0, 'Length of a day; 0 for none.')
_PROMPT_TOKENS = flags.DEFINE_integer('prompt_tokens', 64, 'Mean length.')
_MAX_ANSWER_TOKENS = flags.DEFINE_integer(
    'max_answer_tokens', 96, 'Longest answer.'
)
_MIN_ANSWER_TOKENS = flags.DEFINE_integer(
    'min_answer_tokens', 16, 'Shortest answer.'
)
_PREFIX_TOKENS = flags.DEFINE_integer(
    'prefix_tokens', 128, 'Length of a shared prefix.'
)
_LONG_FACTOR = flags.DEFINE_integer(
    'long_factor', 10, 'Length of a long prompt, as a multiple.'
)
_LONG_SHARE = flags.DEFINE_float('long_share', 0.05, 'Share of long prompts.')
_SESSION_SHARE = flags.DEFINE_float(
    'session_share', 0.3, 'Share of requests that are turns of a session.'
)
_RESULTS = flags.DEFINE_string('results', '', 'File for the report as JSON.')


def main(unused_argv: list[str]) -> int:
    """Runs the load; returns 1 unless every answer was correct."""
    targets: list[transport.Address] = []
    for text in _TARGETS.value:
        address = transport.parse_address(text)
        if isinstance(address, results.Failure):
            raise app.UsageError(address.reason)
        targets.append(address)
    if not targets:
        raise app.UsageError('--target is needed')
    pattern = load.ArrivalPattern(
        rate_per_s=_RATE.value,
        burst_factor=_BURST_FACTOR.value,
        burst_s=_BURST_S.value,
        quiet_s=_QUIET_S.value,
        day_s=_DAY_S.value,
    )
    shape = load.WorkloadShape(
        prompt_tokens=_PROMPT_TOKENS.value,
        max_answer_tokens=_MAX_ANSWER_TOKENS.value,
        min_answer_tokens=min(
            _MIN_ANSWER_TOKENS.value, _MAX_ANSWER_TOKENS.value
        ),
        prefix_tokens=_PREFIX_TOKENS.value,
        long_factor=_LONG_FACTOR.value,
        long_share=_LONG_SHARE.value,
        session_share=_SESSION_SHARE.value,
    )
    requests = load.create_requests(
        shape, pattern, _DURATION_S.value, _SEED.value, _LABEL.value
    )
    wire = load.create_wire(
        _WIRE.value,
        service=_SERVICE.value,
        key=_KEY.value,
        request_class=_CLASS.value,
    )
    generator = load.create_load_generator(targets, wire, _LABEL.value)
    # A blocking sleep is fine, as nothing else runs in this process yet.
    time.sleep(max(0.0, _START_AT_S.value - time.time()))
    trio.run(generator.run, requests, _WARM_UP_S.value, _DURATION_S.value)
    report = generator.report
    print('\n'.join(report.format_lines()))
    if _RESULTS.value:
        pathlib.Path(_RESULTS.value).write_bytes(
            orjson.dumps(report.to_json(), option=orjson.OPT_INDENT_2)
        )
    report.add(generator.warm_up_report)
    right_count = report.outcomes[load.Outcome.RIGHT]
    return 0 if right_count == len(requests) else 1


if __name__ == '__main__':
    app.run(main)
