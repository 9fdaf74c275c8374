"""Computes the costs of each role at a target size, from measured slopes.

A slope is the cost per unit of one kind of work.
"""

import math

from tools.slopes import _figures

SECONDS_PER_DAY = 86_400
MS_PER_S = 1000
US_PER_S = 1_000_000

_REQUIRED_FIGURES = {
    'control_slopes': (
        'client_cpu_per_call_paced',
        'server_cpu_per_call_paced',
        'heartbeat_request',
        'heartbeat_reply_12_entries',
        'choose_by_key_160_upstreams',
        'admit_160_upstreams',
    ),
    'state_slopes': (
        'idempotent_submit_cpu',
        'idempotent_run_cpu',
        'idempotent_submit_log_bytes',
        'idempotent_run_log_bytes',
        'replay_records_cpu',
        'replay_snapshot_cpu',
        'items_memory',
    ),
    'sidecar_slopes': (
        'cpu_per_token',
        'cpu_per_request',
        'cpu_idle',
        'resident_after',
    ),
    'entry_slopes': (
        'cpu_per_token',
        'cpu_per_request',
        'cpu_idle',
        'cpu_per_sidecar',
        'cpu_per_item_run',
        'cpu_per_change_and_caller',
        'document_per_caller',
        'memory_per_caller',
        'memory_per_member',
        'memory_per_stream',
        'resident_after',
        'status_bytes_per_job',
    ),
}


class CapacityTarget:
    """The size of fleet to plan for, and the settings assumed for it.

    Attributes:
        entries: Number of entry daemons.
        sidecars: Number of engines, each with a sidecar.
        requests_per_s: Peak rate of online requests.
        tokens_per_s: Peak rate of tokens.
        between_tokens_ms: Time between two tokens that most streams stay
            below.
        items_per_day: Batch items per day.
        jobs: Number of batch jobs.
        largest_job_items: Items of the largest job.
        callers: Number of customers.
        models: Number of model services.
        failure_domains: Number of failure domains.
        regions: Number of regions.
        changes_per_day: Configuration changes per day.
        state_streams: Number of state streams in the log.
        stream_appends_per_s: Maximum append rate of one stream.
        sidecar_peers: Entries to which a sidecar sends heartbeats.
        entry_peers: Entries to which an entry sends heartbeats.
        listed_entries: Entries listed in one heartbeat reply.
        heartbeat_interval_s: Time between two heartbeats to one peer.
        result_retention_days: Time for which batch results stay readable.
        log_retention_days: Time for which the log keeps a record.
        snapshot_after_bytes: Log bytes after which a snapshot is written.
        process_load: Maximum load of one process, as a share of a core.
    """

    __slots__ = (
        'entries',
        'sidecars',
        'requests_per_s',
        'tokens_per_s',
        'between_tokens_ms',
        'items_per_day',
        'jobs',
        'largest_job_items',
        'callers',
        'models',
        'failure_domains',
        'regions',
        'changes_per_day',
        'state_streams',
        'stream_appends_per_s',
        'sidecar_peers',
        'entry_peers',
        'listed_entries',
        'heartbeat_interval_s',
        'result_retention_days',
        'log_retention_days',
        'snapshot_after_bytes',
        'process_load',
    )

    def __init__(
        self,
        *,
        entries: int = 330,
        sidecars: int = 1300,
        requests_per_s: float = 6200,
        tokens_per_s: float = 1_600_000,
        between_tokens_ms: float = 78,
        items_per_day: float = 110_000_000,
        jobs: int = 1500,
        largest_job_items: int = 390_000,
        callers: int = 29_000,
        models: int = 10,
        failure_domains: int = 19,
        regions: int = 6,
        changes_per_day: float = 1000,
        state_streams: int = 12,
        stream_appends_per_s: float = 25,
        sidecar_peers: int = 8,
        entry_peers: int = 12,
        listed_entries: int = 12,
        heartbeat_interval_s: float = 1,
        result_retention_days: float = 2,
        log_retention_days: float = 1,
        snapshot_after_bytes: float = 64 * 1024 * 1024,
        process_load: float = 0.5,
    ) -> None:
        self.entries = entries
        self.sidecars = sidecars
        self.requests_per_s = requests_per_s
        self.tokens_per_s = tokens_per_s
        self.between_tokens_ms = between_tokens_ms
        self.items_per_day = items_per_day
        self.jobs = jobs
        self.largest_job_items = largest_job_items
        self.callers = callers
        self.models = models
        self.failure_domains = failure_domains
        self.regions = regions
        self.changes_per_day = changes_per_day
        self.state_streams = state_streams
        self.stream_appends_per_s = stream_appends_per_s
        self.sidecar_peers = sidecar_peers
        self.entry_peers = entry_peers
        self.listed_entries = listed_entries
        self.heartbeat_interval_s = heartbeat_interval_s
        self.result_retention_days = result_retention_days
        self.log_retention_days = log_retention_days
        self.snapshot_after_bytes = snapshot_after_bytes
        self.process_load = process_load

    @property
    def items_per_s(self) -> float:
        """Batch items per second, spread evenly over the day."""
        return self.items_per_day / SECONDS_PER_DAY


class Slopes:
    """The measured figures from which costs are computed.

    Attributes:
        control: Figures of `control_slopes`.
        state: Figures of `state_slopes`.
        sidecar: Figures of `sidecar_slopes`.
        entry: Figures of `entry_slopes`.
    """

    __slots__ = ('control', 'state', 'sidecar', 'entry')

    def __init__(
        self,
        control: dict[str, float],
        state: dict[str, float],
        sidecar: dict[str, float],
        entry: dict[str, float],
    ) -> None:
        self.control = control
        self.state = state
        self.sidecar = sidecar
        self.entry = entry


def read_slopes(measured: dict[str, list[_figures.Figure]]) -> Slopes:
    """Selects the required figures from those of all measurements.

    Raises:
        KeyError: A required figure is missing.
    """
    values: dict[str, dict[str, float]] = {}
    for measurement, names in _REQUIRED_FIGURES.items():
        found = {
            figure.name: figure.value
            for figure in measured.get(measurement, [])
        }
        values[measurement] = {name: found[name] for name in names}
    return Slopes(
        values['control_slopes'],
        values['state_slopes'],
        values['sidecar_slopes'],
        values['entry_slopes'],
    )


def compute_costs(
    target: CapacityTarget, slopes: Slopes
) -> list[_figures.Figure]:
    """Returns the costs of each role at the target size."""
    return [
        *_compute_entry_costs(target, slopes),
        *_compute_entry_memory(target, slopes),
        *_compute_control_costs(target, slopes),
        *_compute_sidecar_costs(target, slopes),
        *_compute_log_volume(target, slopes),
        *_compute_state_costs(target, slopes),
        *_compute_configuration_costs(target, slopes),
    ]


def _compute_entry_costs(
    target: CapacityTarget, slopes: Slopes
) -> list[_figures.Figure]:
    """Returns an entry's costs of requests and tokens."""
    requests = target.requests_per_s / target.entries
    tokens = target.tokens_per_s / target.entries
    request_cores = requests * slopes.entry['cpu_per_request'] / MS_PER_S
    token_cores = tokens * slopes.entry['cpu_per_token'] / MS_PER_S
    data_cores = request_cores + token_cores
    processes = math.ceil(data_cores / target.process_load)
    domain_load = target.failure_domains / (target.failure_domains - 1)
    domains_in_region = target.failure_domains / target.regions
    region_load = domains_in_region / (domains_in_region - 1)
    choice_us = (
        slopes.control['choose_by_key_160_upstreams']
        + slopes.control['admit_160_upstreams']
    )
    return [
        _figures.Figure('entry: requests', requests, '1/s'),
        _figures.Figure('entry: tokens', tokens, '1/s'),
        _figures.Figure('entry: cores for requests', request_cores, 'cores'),
        _figures.Figure('entry: cores for tokens', token_cores, 'cores'),
        _figures.Figure('entry: processes a VM', processes, ''),
        _figures.Figure(
            'entry: choice and admission, 160 upstreams',
            requests * choice_us / US_PER_S * 100,
            '% of a core',
        ),
        _figures.Figure(
            'entry: cores after a loss of a domain, all regions share',
            data_cores * domain_load,
            'cores',
        ),
        _figures.Figure(
            'entry: cores after a loss of a domain, its region alone',
            data_cores * region_load,
            'cores',
        ),
    ]


def _compute_entry_memory(
    target: CapacityTarget, slopes: Slopes
) -> list[_figures.Figure]:
    """Returns the memory of an entry that owns no state stream."""
    requests = target.requests_per_s / target.entries
    tokens_per_request = target.tokens_per_s / target.requests_per_s
    duration_s = tokens_per_request * target.between_tokens_ms / MS_PER_S
    open_streams = requests * duration_s
    stream_mb = open_streams * slopes.entry['memory_per_stream'] / 1000
    members = target.entries + target.sidecars
    member_mb = members * slopes.entry['memory_per_member'] / 1000
    caller_mb = target.callers * slopes.entry['memory_per_caller'] / 1000
    resident_mb = slopes.entry['resident_after']
    return [
        _figures.Figure('entry: open streams', open_streams, ''),
        _figures.Figure('entry: memory of open streams', stream_mb, 'MB'),
        _figures.Figure('entry: memory of all members', member_mb, 'MB'),
        _figures.Figure('entry: memory of all callers', caller_mb, 'MB'),
        _figures.Figure(
            'entry: memory, with no state stream',
            resident_mb + stream_mb + member_mb + caller_mb,
            'MB',
        ),
    ]


def _compute_control_costs(
    target: CapacityTarget, slopes: Slopes
) -> list[_figures.Figure]:
    """Returns an entry's costs of control calls and idle pulls."""
    sidecar_heartbeats = (
        target.sidecars
        * target.sidecar_peers
        / target.entries
        / target.heartbeat_interval_s
    )
    entry_heartbeats = target.entry_peers / target.heartbeat_interval_s
    received = sidecar_heartbeats + entry_heartbeats
    cpu_ms = (
        received * slopes.control['server_cpu_per_call_paced']
        + entry_heartbeats * slopes.control['client_cpu_per_call_paced']
    )
    # The idle CPU per sidecar covers one heartbeat per second and the pulls.
    pull_share = max(
        0.0,
        slopes.entry['cpu_per_sidecar']
        - slopes.control['server_cpu_per_call_paced'] / MS_PER_S * 100,
    )
    return [
        _figures.Figure('entry: heartbeats received', received, '1/s'),
        _figures.Figure(
            'entry: control calls', cpu_ms / MS_PER_S * 100, '% of a core'
        ),
        _figures.Figure(
            'entry: idle pulls of all sidecars',
            target.sidecars * pull_share,
            '% of a core',
        ),
        _figures.Figure(
            'entry: control bytes, both directions',
            (received + entry_heartbeats)
            * _heartbeat_call_bytes(slopes)
            / 1000,
            'kB/s',
        ),
        _figures.Figure(
            'entry: time in which replies name every entry',
            target.entries / (entry_heartbeats * target.listed_entries),
            's',
        ),
        _figures.Figure(
            'entry: status of all jobs',
            target.jobs * slopes.entry['status_bytes_per_job'] / 1000,
            'kB',
        ),
        *_compute_known_upstreams(target),
    ]


def _compute_known_upstreams(target: CapacityTarget) -> list[_figures.Figure]:
    """Returns how many upstreams an entry learns of through heartbeats."""
    known = target.sidecars * target.sidecar_peers / target.entries
    entries_in_region = target.entries / target.regions
    service_in_region = target.sidecars / target.regions / target.models
    heard_share = min(1.0, target.sidecar_peers / entries_in_region)
    return [
        _figures.Figure('entry: upstreams known', known, ''),
        _figures.Figure(
            'entry: upstreams known of one model', known / target.models, ''
        ),
        _figures.Figure(
            'entry: chance to know no upstream of a model',
            (1 - heard_share) ** service_in_region * 100,
            '%',
        ),
    ]


def _heartbeat_call_bytes(slopes: Slopes) -> float:
    """Returns the size of one heartbeat and its reply."""
    return (
        slopes.control['heartbeat_request']
        + slopes.control['heartbeat_reply_12_entries']
    )


def _compute_sidecar_costs(
    target: CapacityTarget, slopes: Slopes
) -> list[_figures.Figure]:
    """Returns the costs of a sidecar."""
    requests = target.requests_per_s / target.sidecars
    tokens = target.tokens_per_s / target.sidecars
    data_ms = (
        requests * slopes.sidecar['cpu_per_request']
        + tokens * slopes.sidecar['cpu_per_token']
    )
    calls = target.sidecar_peers / target.heartbeat_interval_s
    call_cpu_ms = calls * slopes.control['client_cpu_per_call_paced']
    return [
        _figures.Figure('sidecar: tokens', tokens, '1/s'),
        _figures.Figure('sidecar: data', data_ms / MS_PER_S, 'cores'),
        _figures.Figure(
            'sidecar: heartbeats',
            call_cpu_ms / MS_PER_S * 100,
            '% of a core',
        ),
        _figures.Figure(
            'sidecar: control bytes, both directions',
            calls * _heartbeat_call_bytes(slopes) / 1000,
            'kB/s',
        ),
        _figures.Figure(
            'sidecar: memory', slopes.sidecar['resident_after'], 'MB'
        ),
    ]


def _compute_log_volume(
    target: CapacityTarget, slopes: Slopes
) -> list[_figures.Figure]:
    """Returns the appends and bytes of the log."""
    submit_bytes = slopes.state['idempotent_submit_log_bytes']
    run_bytes = slopes.state['idempotent_run_log_bytes']
    first_bytes = target.items_per_s * (submit_bytes + run_bytes)
    # Results outlive the log's retention: each is appended again whenever half
    # of the log's retention has passed, until the result itself expires.
    write_count = math.ceil(
        target.result_retention_days / (target.log_retention_days / 2)
    )
    rewritten_bytes = target.items_per_s * run_bytes * (write_count - 1)
    return [
        _figures.Figure('log: batch items', target.items_per_s, '1/s'),
        _figures.Figure(
            'log: most appends of all state streams',
            target.state_streams * target.stream_appends_per_s,
            '1/s',
        ),
        _figures.Figure('log: items and results', first_bytes / 1e6, 'MB/s'),
        _figures.Figure(
            'log: results carried forward', rewritten_bytes / 1e6, 'MB/s'
        ),
        _figures.Figure(
            'log: bytes kept',
            (first_bytes + rewritten_bytes)
            * target.log_retention_days
            * SECONDS_PER_DAY
            / 1e9,
            'GB',
        ),
    ]


def _compute_state_costs(
    target: CapacityTarget, slopes: Slopes
) -> list[_figures.Figure]:
    """Returns the costs of one state stream for its owner."""
    items_per_s = target.items_per_s / target.state_streams
    kept_items = (
        target.items_per_day
        * target.result_retention_days
        / target.state_streams
    )
    index_bytes = kept_items * slopes.state['items_memory']
    item_bytes = (
        slopes.state['idempotent_submit_log_bytes']
        + slopes.state['idempotent_run_log_bytes']
    )
    replay_items = target.snapshot_after_bytes / item_bytes
    replay_s = (
        replay_items / 1e6 * slopes.state['replay_records_cpu']
        + kept_items / 1e6 * slopes.state['replay_snapshot_cpu']
    )
    state_us = (
        slopes.state['idempotent_submit_cpu']
        + slopes.state['idempotent_run_cpu']
    )
    between_snapshots_s = target.snapshot_after_bytes / (
        items_per_s * item_bytes
    )
    return [
        _figures.Figure('stream: items', items_per_s, '1/s'),
        _figures.Figure(
            'stream: items, large pulls',
            items_per_s * state_us / US_PER_S * 100,
            '% of a core',
        ),
        _figures.Figure(
            'stream: items, as pulled in the measured fleet',
            items_per_s * slopes.entry['cpu_per_item_run'] / MS_PER_S * 100,
            '% of a core',
        ),
        _figures.Figure('stream: items kept', kept_items / 1e6, 'million'),
        _figures.Figure('stream: index', index_bytes / 1e6, 'MB'),
        _figures.Figure(
            'stream: index of the largest job',
            target.largest_job_items * slopes.state['items_memory'] / 1e6,
            'MB',
        ),
        _figures.Figure('stream: replay', replay_s, 's'),
        _figures.Figure(
            'stream: time between snapshots', between_snapshots_s, 's'
        ),
        _figures.Figure(
            'stream: snapshots, of the index alone',
            index_bytes / between_snapshots_s / 1000,
            'kB/s',
        ),
    ]


def _compute_configuration_costs(
    target: CapacityTarget, slopes: Slopes
) -> list[_figures.Figure]:
    """Returns a daemon's costs of configuration changes."""
    change_ms = (
        target.callers * slopes.entry['cpu_per_change_and_caller'] / MS_PER_S
    )
    document_kb = target.callers * slopes.entry['document_per_caller'] / 1000
    per_s = target.changes_per_day / SECONDS_PER_DAY
    return [
        _figures.Figure('configuration: document', document_kb, 'kB'),
        _figures.Figure('configuration: one change', change_ms, 'ms'),
        _figures.Figure(
            'configuration: all changes',
            change_ms * per_s / MS_PER_S * 100,
            '% of a core',
        ),
        _figures.Figure(
            'configuration: bytes of a daemon', document_kb * per_s, 'kB/s'
        ),
        _figures.Figure(
            'configuration: longest until in force at a sidecar',
            target.heartbeat_interval_s * 1.2 + change_ms / MS_PER_S,
            's',
        ),
    ]
