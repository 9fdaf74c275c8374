"""Counters and latency histograms of the gateway."""

from siskinmount import telemetry


class GatewayMetrics:
    """Numbers of one process.

    Attributes:
        metrics: All counters and gauges.
        histograms: Latencies by service and measure.
        answers: Answers to callers by route kind and status.
        attempts: Sends to upstreams by how they ended.
        placements: Decisions on where a request goes, by outcome.
        items: Runs of batch items by how they ended.
        cuts: Runs of batch items that gave way to callers.
        resumes: Streams that went on at another upstream.
        gone: Callers that left before their answer was complete.
    """

    __slots__ = (
        'metrics',
        'histograms',
        'answers',
        'attempts',
        'placements',
        'items',
        'cuts',
        'resumes',
        'gone',
    )

    def __init__(self, metrics: telemetry.Metrics) -> None:
        self.metrics = metrics
        self.histograms = telemetry.create_histograms([])
        self.answers = metrics.create_counter(
            'answers_total', 'Answers to callers.', 'kind', 'status'
        )
        self.attempts = metrics.create_counter(
            'upstream_attempts_total', 'Sends to upstreams.', 'outcome'
        )
        self.placements = metrics.create_counter(
            'placements_total', 'Decisions on placement.', 'outcome'
        )
        self.items = metrics.create_counter(
            'item_runs_total', 'Runs of batch items.', 'outcome'
        )
        self.cuts = metrics.create_counter(
            'item_cuts_total', 'Batch runs that gave way to callers.'
        )
        self.resumes = metrics.create_counter(
            'stream_resumes_total', 'Streams that went on elsewhere.'
        )
        self.gone = metrics.create_counter(
            'callers_gone_total', 'Callers that left early.'
        )


def create_gateway_metrics(metrics: telemetry.Metrics) -> GatewayMetrics:
    """Creates all numbers at zero."""
    return GatewayMetrics(metrics)
