"""Counters and latency histograms of the gateway."""

from siskinmount import admission
from siskinmount import telemetry

#: Customers with the highest recent use, each of which has a label.
TOP_CUSTOMERS = 8


class GatewayMetrics:
    """Counters and latency histograms of one process.

    Attributes:
        metrics: All counters and gauges.
        histograms: Latencies in ms by route name (or `jobs`) and measure.
        responses: Responses to callers by route kind and status.
        attempts: Attempts at upstreams by outcome.
        stream_ends: Ends of upstreams' streams, by framing of the body and by
            what followed the last complete event.
        unframed_ends: Ends of bodies without a length or chunks, by what was
            found of the upstream's process, and by whether they count as
            complete.
        interrupted_runs: Interrupted runs by what became of them: counted as a
            crash, or the reason why not.
        quarantined_requests: Requests that were refused as they may crash
            upstreams, by what is in quarantine.
        quarantined_parts: Parts of prompts in quarantine.
        work_times: Time of the event loop by kind of work.
        peer_datagrams: Datagrams of members by what was done with them.
        peer_rows: Messages of members that were read, by what became of them.
        peer_row_bytes: Bytes of those.
        part_failures: Failures of parts of the process, which were restarted,
            by part.
        departures: Upstreams that announced in a response that they leave.
        limit_notices: Changes of the request rates that upstreams accept, by
            what was read in a response: named, ended or invalid.
        limited_upstreams: Upstreams that accept a bounded request rate.
        paced_upstreams: Starting or recovered upstreams that have a window.
        quota_requests: Customers' requests by what their quotas said.
        customers_over: Customers that are over their quota here.
        customer_use: Requests per second at all members of the customers with
            the most.
        placements: Placement decisions by outcome.
        item_runs: Runs of batch items by outcome.
        preemptions: Runs of batch items preempted by callers' requests.
        items_waiting: Open items without a run, by reason.
        oldest_open_item: Age in s of the oldest open item; 0 if there is none.
        resumes: Streams resumed at another upstream.
        stream_origins: Streams that callers resume, by how it was found out
            what began them.
        streams_started: Streams that began, by what became of their record.
        disconnects: Callers that disconnected before their response ended.
        key_proofs: Proofs that the keys in force are the newest, by source
            (store or peer).
        key_reads: Further reads of the end of the log of documents, by outcome.
        keys_outdated: Times at which the keys became too old for requests.
        key_proof_age: Age in s of the newest proof; -1 without one. Only where
            strict revocation is on.
        customer_refusals: Requests refused because of their key or customer, by
            reason.
        client_bytes: Bytes held for clients, of the process's budget.
        client_bytes_limit: Size of that budget in bytes.
        client_refusals: Clients refused by the server, by reason.
    """

    __slots__ = (
        'metrics',
        'histograms',
        'responses',
        'attempts',
        'stream_ends',
        'unframed_ends',
        'interrupted_runs',
        'quarantined_requests',
        'quarantined_parts',
        'work_times',
        'peer_datagrams',
        'peer_rows',
        'peer_row_bytes',
        'part_failures',
        'departures',
        'limit_notices',
        'limited_upstreams',
        'paced_upstreams',
        'quota_requests',
        'customers_over',
        'customer_use',
        'placements',
        'item_runs',
        'preemptions',
        'items_waiting',
        'oldest_open_item',
        'resumes',
        'stream_origins',
        'streams_started',
        'disconnects',
        'key_proofs',
        'key_reads',
        'keys_outdated',
        'key_proof_age',
        'customer_refusals',
        'client_bytes',
        'client_bytes_limit',
        'client_refusals',
    )

    def __init__(self, metrics: telemetry.Metrics) -> None:
        self.metrics = metrics
        self.histograms = telemetry.create_histograms([])
        self.responses = metrics.create_counter(
            'answers_total', 'Answers to callers.', 'kind', 'status'
        )
        self.attempts = metrics.create_counter(
            'upstream_attempts_total', 'Sends to upstreams.', 'outcome'
        )
        self.stream_ends = metrics.create_counter(
            'upstream_stream_ends_total',
            'Ends of streams of upstreams.',
            'framing',
            'end',
        )
        self.unframed_ends = metrics.create_counter(
            'upstream_unframed_ends_total',
            'Ends of bodies without length or chunks.',
            'process',
            'outcome',
        )
        self.interrupted_runs = metrics.create_counter(
            'interrupted_runs_total',
            'Runs that an upstream or a connection broke off.',
            'outcome',
        )
        self.quarantined_requests = metrics.create_counter(
            'requests_quarantined_total',
            'Requests refused as they may crash upstreams.',
            'what',
        )
        self.quarantined_parts = metrics.create_gauge(
            'quarantined_prompt_parts', 'Parts of prompts in quarantine.'
        )
        self.work_times = telemetry.create_work_times(metrics)
        self.peer_datagrams = metrics.create_counter(
            'peer_datagrams_total', 'Datagrams between members.', 'what'
        )
        self.peer_rows = metrics.create_counter(
            'peer_rows_total', 'Messages of members.', 'outcome'
        )
        self.peer_row_bytes = metrics.create_counter(
            'peer_row_bytes_total', 'Bytes of messages of members.', 'outcome'
        )
        self.part_failures = metrics.create_counter(
            'part_failures_total', 'Restarts of parts of the process.', 'part'
        )
        self.departures = metrics.create_counter(
            'upstream_departures_total',
            'Upstreams that said in an answer that they leave.',
        )
        self.limit_notices = metrics.create_counter(
            'upstream_limit_notices_total',
            'Changes of the rates that upstreams accept.',
            'what',
        )
        self.limited_upstreams = metrics.create_gauge(
            'limited_upstreams', 'Upstreams that accept a bounded request rate.'
        )
        self.paced_upstreams = metrics.create_gauge(
            'paced_upstreams',
            'Starting or recovered upstreams that have a window.',
        )
        self.quota_requests = metrics.create_gauge(
            'customer_requests', 'Decisions on quotas since the start.', 'what'
        )
        self.customers_over = metrics.create_gauge(
            'customers_over_quota', 'Customers refused in the last seconds.'
        )
        self.customer_use = metrics.create_gauge(
            'customer_use_per_s',
            'Requests a second at all members, of the customers with the most.',
            'customer',
        )
        self.placements = metrics.create_counter(
            'placements_total', 'Decisions on placement.', 'outcome'
        )
        self.item_runs = metrics.create_counter(
            'item_runs_total', 'Runs of batch items.', 'outcome'
        )
        self.preemptions = metrics.create_counter(
            'item_cuts_total', 'Batch runs that gave way to callers.'
        )
        self.items_waiting = metrics.create_gauge(
            'items_waiting',
            'Oldest open items that have waited for a run, by reason.',
            'reason',
        )
        self.oldest_open_item = metrics.create_gauge(
            'oldest_open_item_s', 'Age of the oldest open item in seconds.'
        )
        self.stream_origins = metrics.create_counter(
            'stream_origins_total',
            'Streams that callers resume, by how their origin was found.',
            'source',
        )
        self.streams_started = metrics.create_counter(
            'streams_started_total', 'Streams that began.', 'record'
        )
        self.resumes = metrics.create_counter(
            'stream_resumes_total', 'Streams that went on elsewhere.'
        )
        self.disconnects = metrics.create_counter(
            'callers_gone_total', 'Callers that left early.'
        )
        self.key_proofs = metrics.create_counter(
            'key_proofs_total',
            'Proofs that the keys in force are the newest.',
            'source',
        )
        self.key_reads = metrics.create_counter(
            'key_reads_total',
            'Further reads of the end of the log of documents.',
            'outcome',
        )
        self.keys_outdated = metrics.create_counter(
            'keys_outdated_total', 'Times at which the keys became too old.'
        )
        self.key_proof_age = metrics.create_gauge(
            'key_proof_age_s',
            'Age of the newest proof that the keys are current.',
        )
        self.customer_refusals = metrics.create_counter(
            'customer_refusals_total',
            'Requests refused because of their key or customer.',
            'reason',
        )
        self.client_bytes = metrics.create_gauge(
            'client_bytes', 'Bytes held for clients.'
        )
        self.client_bytes_limit = metrics.create_gauge(
            'client_bytes_limit', 'Bytes that may be held for clients.'
        )
        self.client_refusals = metrics.create_counter(
            'client_refusals_total',
            'Clients refused for their bytes or connections.',
            'reason',
        )

    def set_customers(self, quotas: admission.CustomerQuotas) -> None:
        """Sets what is shown of customers; few have a label at a time."""
        self.quota_requests.set(quotas.admitted_count, 'admitted')
        self.quota_requests.set(quotas.refused_count, 'refused')
        self.customers_over.set(quotas.count_over())
        top = dict(quotas.list_top(TOP_CUSTOMERS))
        for labels, _ in self.customer_use.list_values():
            if labels[0] not in top:
                self.customer_use.remove(*labels)
        for name, per_s in top.items():
            self.customer_use.set(round(per_s, 2), name)

    def count_peer_rows(
        self, outcome: str, count: int, size_bytes: int
    ) -> None:
        """Counts messages of members that were read."""
        self.peer_rows.increment(outcome, amount=count)
        self.peer_row_bytes.increment(outcome, amount=size_bytes)


def create_gateway_metrics(metrics: telemetry.Metrics) -> GatewayMetrics:
    """Creates metrics whose counters are zero."""
    return GatewayMetrics(metrics)
