"""Measurements of a run of load."""

import collections
import enum

from hdrh import histogram as hdr

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 95.0, 99.0, 99.9)


class Outcome(enum.Enum):
    """Outcome of one request."""

    #: The complete and correct answer was received.
    RIGHT = 'right'

    #: A complete answer was received, but it is not the correct one.
    WRONG = 'wrong'

    #: The server refused the request.
    REFUSED = 'refused'

    #: The answer was cut off or never received.
    LOST = 'lost'


class LatencyHistogram:
    """Histogram of the latencies of one kind, in microseconds."""

    __slots__ = ('_histogram',)

    def __init__(self) -> None:
        self._histogram = hdr.HdrHistogram(
            LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
        )

    def record(self, latency_s: float) -> None:
        """Records a latency, limited to the range of the histogram."""
        latency_us = int(latency_s * 1e6)
        self._histogram.record_value(
            min(HIGHEST_US, max(LOWEST_US, latency_us))
        )

    def add(self, other: 'LatencyHistogram') -> None:
        """Adds the values of another histogram."""
        self._histogram.add(other._histogram)

    @property
    def count(self) -> int:
        """Number of recorded values."""
        return self._histogram.get_total_count()

    def find_percentile_ms(self, percentile: float) -> float:
        """Returns the latency at a percentile, in milliseconds."""
        return self._histogram.get_value_at_percentile(percentile) / 1000

    def add_json(self, document: dict[str, object]) -> None:
        """Adds the values of a histogram in the form that `to_json` returns."""
        self._histogram.decode_and_add(document['hdr'])

    def to_json(self) -> dict[str, object]:
        """Returns percentiles and the encoded histogram."""
        percentiles = {
            f'p{percentile:g}': self.find_percentile_ms(percentile)
            for percentile in PERCENTILES
        }
        return {
            'count': self.count,
            'percentiles_ms': percentiles,
            'max_ms': self._histogram.get_max_value() / 1000,
            'hdr': self._histogram.encode().decode('ascii'),
        }


_HISTOGRAM_NAMES = ('first_token', 'between_tokens', 'whole_answer', 'send_lag')


class LoadReport:
    """Counts and latencies of a run.

    Latencies count from the intended time of sending, so that the delay of
    requests that a slow server holds up is measured too.

    Attributes:
        first_token: Time to the first token.
        between_tokens: Time between two tokens of one answer.
        whole_answer: Time to the complete answer.
        send_lag: Time between the intended and the actual sending. Large
            values mean that the load generator itself was too slow.
        outcomes: Requests by outcome.
        refusal_codes: Refused and lost requests by the name of the result
            code.
        token_count: Tokens received, without those of answers that failed
            midway.
        window_token_count: Tokens of all requests received between the end of
            the warm-up and the end of the run.
        duration_s: Length of the run in seconds, without the warm-up.
        wrong_examples: Ids of the first few requests with wrong answers.
    """

    __slots__ = (
        'first_token',
        'between_tokens',
        'whole_answer',
        'send_lag',
        'outcomes',
        'refusal_codes',
        'token_count',
        'window_token_count',
        'duration_s',
        'wrong_examples',
    )

    def __init__(self) -> None:
        self.first_token = LatencyHistogram()
        self.between_tokens = LatencyHistogram()
        self.whole_answer = LatencyHistogram()
        self.send_lag = LatencyHistogram()
        self.outcomes: collections.Counter[Outcome] = collections.Counter()
        self.refusal_codes: collections.Counter[str] = collections.Counter()
        self.token_count = 0
        self.window_token_count = 0
        self.duration_s = 0.0
        self.wrong_examples: list[str] = []

    def add(self, other: 'LoadReport') -> None:
        """Adds the counts and latencies of another run."""
        for name in _HISTOGRAM_NAMES:
            getattr(self, name).add(getattr(other, name))
        self.outcomes.update(other.outcomes)
        self.refusal_codes.update(other.refusal_codes)
        self.token_count += other.token_count
        self.window_token_count += other.window_token_count
        self.duration_s += other.duration_s
        self.wrong_examples.extend(other.wrong_examples)

    def to_json(self) -> dict[str, object]:
        """Returns the report as a JSON object."""
        return {
            'duration_s': self.duration_s,
            'outcomes': {
                outcome.value: self.outcomes[outcome] for outcome in Outcome
            },
            'refusal_codes': dict(self.refusal_codes),
            'tokens': self.token_count,
            'window_tokens': self.window_token_count,
            'wrong_examples': self.wrong_examples,
            **{
                name: getattr(self, name).to_json() for name in _HISTOGRAM_NAMES
            },
        }

    def format_lines(self) -> list[str]:
        """Returns the report as lines for a terminal."""
        counts = ', '.join(
            f'{outcome.value} {self.outcomes[outcome]}' for outcome in Outcome
        )
        lines = [f'requests: {counts}; tokens {self.token_count}']
        for code, count in self.refusal_codes.most_common():
            lines.append(f'  {code}: {count}')
        for name in _HISTOGRAM_NAMES:
            histogram = getattr(self, name)
            values = '  '.join(
                f'p{percentile:g}'
                f' {histogram.find_percentile_ms(percentile):9.2f}'
                for percentile in PERCENTILES
            )
            lines.append(f'{name:<15} ms: {values}')
        return lines


def read_report(document: dict) -> LoadReport:
    """Returns the report that a JSON object of `to_json` describes."""
    report = LoadReport()
    report.duration_s = document['duration_s']
    for outcome in Outcome:
        report.outcomes[outcome] = document['outcomes'][outcome.value]
    report.refusal_codes.update(document['refusal_codes'])
    report.token_count = document['tokens']
    report.window_token_count = document['window_tokens']
    report.wrong_examples.extend(document['wrong_examples'])
    for name in _HISTOGRAM_NAMES:
        getattr(report, name).add_json(document[name])
    return report
