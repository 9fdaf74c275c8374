"""Summarizes and compares the arms of an experiment."""

from collections.abc import Callable
import statistics

from tools import load
from tools.bench import _arm_run
from tools.bench import _settings

MEASURES = ('first_token', 'between_tokens')


class Spread:
    """A value over all rounds, with its range over single rounds.

    Attributes:
        value: Value over all rounds.
        low: Lowest value of a single round.
        high: Highest value of a single round.
    """

    __slots__ = ('value', 'low', 'high')

    def __init__(self, value: float, low: float, high: float) -> None:
        self.value = value
        self.low = low
        self.high = high

    def to_json(self) -> dict[str, float]:
        """Returns the spread as a JSON object."""
        return {'value': self.value, 'low': self.low, 'high': self.high}

    def __str__(self) -> str:
        return f'{self.value:.3f} [{self.low:.3f}..{self.high:.3f}]'


class ArmSummary:
    """Summary of all rounds of one arm.

    Attributes:
        arm: The arm.
        latency_ms: Latency by measure and percentile, over all rounds.
        latency_ratio: Latency as a ratio to that of the arm online alone, by
            measure and percentile.
        online_outcomes: Online requests by outcome. The latencies cover only
            answered ones, so an arm that refuses many looks fast.
        send_lag_ms: p99 of the delay with which the load generator sent
            requests. A large value means that the machine was too busy for a
            valid comparison.
        answered_share: Share of online requests with the correct answer.
        refusal_codes: Online requests without an answer, by result code.
        online_tokens_per_s: Rate of tokens of online requests.
        batch_tokens_per_s: Rate of batch tokens that were kept.
        batch_items_per_s: Rate of completed batch items.
        idle_tokens_share: Batch tokens as a share of the idle capacity.
        idle_items_share: Batch items as a share of the idle capacity.
        wasted_share: Share of generated tokens that were not kept.
        yields: Number of preemptions of batch items.
        wrong_items: Batch items with an incorrect answer.
        log_appends_per_s: Rate of records appended to the log.
        cpu_cores: Mean processor cores used, by daemon.
    """

    __slots__ = (
        'arm',
        'latency_ms',
        'latency_ratio',
        'online_outcomes',
        'send_lag_ms',
        'answered_share',
        'refusal_codes',
        'online_tokens_per_s',
        'batch_tokens_per_s',
        'batch_items_per_s',
        'idle_tokens_share',
        'idle_items_share',
        'wasted_share',
        'yields',
        'wrong_items',
        'log_appends_per_s',
        'cpu_cores',
    )

    def __init__(self, arm: _settings.Arm) -> None:
        self.arm = arm
        self.latency_ms: dict[str, dict[str, Spread]] = {}
        self.latency_ratio: dict[str, dict[str, Spread]] = {}
        self.online_outcomes: dict[str, int] = {}
        self.send_lag_ms: Spread | None = None
        self.answered_share: Spread | None = None
        self.refusal_codes: dict[str, int] = {}
        self.online_tokens_per_s: Spread | None = None
        self.batch_tokens_per_s: Spread | None = None
        self.batch_items_per_s: Spread | None = None
        self.idle_tokens_share: Spread | None = None
        self.idle_items_share: Spread | None = None
        self.wasted_share: Spread | None = None
        self.yields = 0
        self.wrong_items = 0
        self.log_appends_per_s: Spread | None = None
        self.cpu_cores: dict[str, float] = {}

    def to_json(self) -> dict[str, object]:
        """Returns the summary as a JSON object."""
        return {name: _to_json(getattr(self, name)) for name in self.__slots__}


def _to_json(value: object) -> object:
    """Returns the JSON representation of a field of a summary."""
    if isinstance(value, Spread):
        return value.to_json()
    if isinstance(value, _settings.Arm):
        return value.value
    if isinstance(value, dict):
        return {key: _to_json(item) for key, item in value.items()}
    return value


def summarize(
    setting: _settings.BenchSetting, results: list[_arm_run.ArmResult]
) -> list[ArmSummary]:
    """Returns a summary for each arm, in the order of `Arm`."""
    by_arm: dict[_settings.Arm, list[_arm_run.ArmResult]] = {}
    for result in results:
        by_arm.setdefault(result.arm, []).append(result)
    alone = by_arm.get(_settings.Arm.ONLINE_ALONE, [])
    capacity = _Capacity(
        setting, by_arm.get(_settings.Arm.BATCH_ALONE, []), alone
    )
    summaries: list[ArmSummary] = []
    for arm in _settings.Arm:
        rounds = by_arm.get(arm)
        if not rounds:
            continue
        summary = ArmSummary(arm)
        if arm.has_online:
            _summarize_online(summary, rounds, alone)
        if arm.has_batch:
            _summarize_batch(summary, rounds, capacity)
        summary.log_appends_per_s = _compute_spread(rounds, _log_appends_per_s)
        summary.cpu_cores = _average_cpu(rounds)
        summaries.append(summary)
    return summaries


class _Capacity:
    """Throughput of the engines with batch work alone.

    Attributes:
        tokens_per_s: Rate of tokens kept.
        items_per_s: Rate of items completed.
        online_weight: Ratio of the engine time per online token to that per
            batch token, each with its share of the prefill.
    """

    __slots__ = ('tokens_per_s', 'items_per_s', 'online_weight')

    def __init__(
        self,
        setting: _settings.BenchSetting,
        batch_alone: list[_arm_run.ArmResult],
        online_alone: list[_arm_run.ArmResult],
    ) -> None:
        self.tokens_per_s = 0.0
        self.items_per_s = 0.0
        self.online_weight = 1.0
        if not batch_alone:
            return
        self.tokens_per_s = _compute_spread(
            batch_alone, _batch_tokens_per_s
        ).value
        self.items_per_s = _compute_spread(
            batch_alone, _batch_items_per_s
        ).value
        if online_alone:
            batch_ms = _compute_token_ms(setting, batch_alone)
            self.online_weight = (
                _compute_token_ms(setting, online_alone) / batch_ms
            )

    def compute_idle_share(self, result: _arm_run.ArmResult) -> float:
        """Returns the share of engine time that online requests leave idle."""
        online = _online_tokens_per_s(result) * self.online_weight
        return max(0.001, 1 - online / self.tokens_per_s)


def _compute_token_ms(
    setting: _settings.BenchSetting, rounds: list[_arm_run.ArmResult]
) -> float:
    """Returns the engine time per token in a full batch, with prefill."""
    engine_settings = setting.engine_settings
    generated = sum(result.generated_tokens for result in rounds)
    prefilled = sum(result.prefilled_tokens for result in rounds)
    decode_ms = (
        engine_settings.step_base_ms / engine_settings.max_running
        + engine_settings.step_per_request_ms
    )
    prefill_ms = engine_settings.prefill_per_token_ms
    return decode_ms + prefill_ms * prefilled / max(1, generated)


def _batch_tokens_per_s(result: _arm_run.ArmResult) -> float:
    return result.batch.kept_tokens / result.measured_s


def _batch_items_per_s(result: _arm_run.ArmResult) -> float:
    return result.batch.done_items / result.measured_s


def _online_tokens_per_s(result: _arm_run.ArmResult) -> float:
    return result.online.window_token_count / result.measured_s


def _log_appends_per_s(result: _arm_run.ArmResult) -> float:
    return result.log_appends / result.measured_s


def _answered_share(result: _arm_run.ArmResult) -> float:
    outcomes = result.online.outcomes
    return outcomes[load.Outcome.RIGHT] / max(1, outcomes.total())


def _wasted_share(result: _arm_run.ArmResult) -> float:
    kept = result.online.window_token_count + result.batch.kept_tokens
    if not result.generated_tokens:
        return 0.0
    return max(0.0, 1 - kept / result.generated_tokens)


def _compute_spread(
    rounds: list[_arm_run.ArmResult],
    measure: Callable[[_arm_run.ArmResult], float],
) -> Spread:
    """Returns the mean of a measure over all rounds, and its range."""
    values = [measure(result) for result in rounds]
    return Spread(statistics.fmean(values), min(values), max(values))


def _summarize_online(
    summary: ArmSummary,
    rounds: list[_arm_run.ArmResult],
    alone: list[_arm_run.ArmResult],
) -> None:
    """Fills in the fields on online requests."""
    for result in rounds:
        for outcome, count in result.online.outcomes.items():
            total = summary.online_outcomes.get(outcome.value, 0) + count
            summary.online_outcomes[outcome.value] = total
        for code, count in result.online.refusal_codes.items():
            total = summary.refusal_codes.get(code, 0) + count
            summary.refusal_codes[code] = total
    summary.answered_share = _compute_spread(rounds, _answered_share)
    summary.send_lag_ms = _compute_latency(rounds, 'send_lag', 99.0)
    summary.online_tokens_per_s = _compute_spread(rounds, _online_tokens_per_s)
    for measure in MEASURES:
        summary.latency_ms[measure] = {}
        summary.latency_ratio[measure] = {}
        for percentile in load.PERCENTILES:
            name = f'p{percentile:g}'
            latency = _compute_latency(rounds, measure, percentile)
            summary.latency_ms[measure][name] = latency
            if alone:
                summary.latency_ratio[measure][name] = _compute_latency_ratio(
                    rounds, alone, measure, percentile
                )


def _compute_latency(
    rounds: list[_arm_run.ArmResult], measure: str, percentile: float
) -> Spread:
    """Returns a latency percentile over the samples of all rounds."""
    pooled = load.LatencyHistogram()
    values: list[float] = []
    for result in rounds:
        histogram = getattr(result.online, measure)
        pooled.add(histogram)
        values.append(histogram.find_percentile_ms(percentile))
    return Spread(
        pooled.find_percentile_ms(percentile), min(values), max(values)
    )


def _compute_latency_ratio(
    rounds: list[_arm_run.ArmResult],
    alone: list[_arm_run.ArmResult],
    measure: str,
    percentile: float,
) -> Spread:
    """Returns a latency percentile as a ratio to that of online alone.

    For the range, each round is compared with the same round of online alone,
    which had the same requests.
    """
    pooled = _compute_latency(rounds, measure, percentile).value
    pooled_alone = _compute_latency(alone, measure, percentile).value
    alone_by_round = {result.round_number: result for result in alone}
    ratios: list[float] = []
    for result in rounds:
        baseline = alone_by_round.get(result.round_number)
        if baseline is None:
            continue
        own = getattr(result.online, measure).find_percentile_ms(percentile)
        other = getattr(baseline.online, measure).find_percentile_ms(percentile)
        ratios.append(own / max(other, 0.001))
    value = pooled / max(pooled_alone, 0.001)
    return Spread(value, min(ratios, default=value), max(ratios, default=value))


def _summarize_batch(
    summary: ArmSummary,
    rounds: list[_arm_run.ArmResult],
    capacity: _Capacity,
) -> None:
    """Fills in the fields on batch items.

    The idle capacity is the throughput of the engines with batch work alone,
    less the share of engine time that online requests take.
    """
    summary.batch_tokens_per_s = _compute_spread(rounds, _batch_tokens_per_s)
    summary.batch_items_per_s = _compute_spread(rounds, _batch_items_per_s)
    summary.wasted_share = _compute_spread(rounds, _wasted_share)
    summary.yields = sum(result.batch.yields for result in rounds)
    summary.wrong_items = sum(result.batch.wrong_items for result in rounds)
    if not capacity.tokens_per_s:
        return

    def tokens_share(result: _arm_run.ArmResult) -> float:
        idle_share = capacity.compute_idle_share(result)
        return _batch_tokens_per_s(result) / capacity.tokens_per_s / idle_share

    def items_share(result: _arm_run.ArmResult) -> float:
        idle_items_per_s = capacity.items_per_s * capacity.compute_idle_share(
            result
        )
        return _batch_items_per_s(result) / max(0.001, idle_items_per_s)

    summary.idle_tokens_share = _compute_spread(rounds, tokens_share)
    summary.idle_items_share = _compute_spread(rounds, items_share)


def _average_cpu(rounds: list[_arm_run.ArmResult]) -> dict[str, float]:
    """Returns the mean number of cores of each daemon over all rounds."""
    names = {name for result in rounds for name in result.cpu_cores}
    return {
        name: statistics.fmean(
            result.cpu_cores.get(name, 0.0) for result in rounds
        )
        for name in sorted(names)
    }


def format_summaries(summaries: list[ArmSummary]) -> list[str]:
    """Returns the comparison as lines for a terminal."""
    lines: list[str] = []
    for summary in summaries:
        lines.append(f'== {summary.arm.value}')
        lines.extend(_format_online(summary))
        lines.extend(_format_batch(summary))
        cpu = ', '.join(
            f'{name} {cores:.3f}' for name, cores in summary.cpu_cores.items()
        )
        lines.append(f'  processor cores: {cpu}')
        lines.append(f'  log appends/s: {summary.log_appends_per_s}')
    return lines


def _format_online(summary: ArmSummary) -> list[str]:
    if not summary.online_outcomes:
        return []
    lines = [
        f'  online: {summary.online_outcomes} {summary.refusal_codes or ""},'
        f' answered share {summary.answered_share}',
        f'  send lag of the load generator p99 {summary.send_lag_ms} ms',
    ]
    for measure in MEASURES:
        for name, latency in summary.latency_ms[measure].items():
            ratio = summary.latency_ratio[measure].get(name)
            lines.append(
                f'  {measure:<15} {name:<6} {latency.value:9.2f} ms,'
                f' ratio to online alone {ratio}'
            )
    return lines


def _format_batch(summary: ArmSummary) -> list[str]:
    if summary.batch_tokens_per_s is None:
        return []
    return [
        f'  batch: {summary.batch_tokens_per_s.value:.0f} tokens/s,'
        f' {summary.batch_items_per_s.value:.2f} items/s,'
        f' {summary.yields} yields, {summary.wrong_items} wrong',
        f'  share of idle capacity: tokens {summary.idle_tokens_share},'
        f' items {summary.idle_items_share}',
        f'  wasted share of generated tokens: {summary.wasted_share}',
    ]
