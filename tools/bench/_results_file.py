"""Writes results to a file and compares later runs with it."""

import pathlib

import orjson

from tools.bench import _experiment
from tools.bench import _plan
from tools.bench import _settings
from tools.bench import _summary

FORMAT = 1


def write_results(
    path: pathlib.Path,
    setting: _settings.BenchSetting,
    plan: _plan.BenchPlan,
    experiment: _experiment.Experiment,
    summaries: list[_summary.ArmSummary],
) -> None:
    """Writes all results as JSON."""
    document = {
        'format': FORMAT,
        'setting': setting.name,
        'plan': {
            'rounds': plan.rounds,
            'warm_up_s': plan.warm_up_s,
            'measured_s': plan.measured_s,
            'seed': plan.seed,
            'batch_source': plan.batch_source.value,
            'fault': plan.fault.value,
            'max_send_lag_ms': plan.max_send_lag_ms,
        },
        'summaries': [summary.to_json() for summary in summaries],
        'runs': [result.to_json() for result in experiment.results],
        'disturbed_runs': [result.to_json() for result in experiment.disturbed],
        'failures': experiment.failures,
    }
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(orjson.dumps(document, option=orjson.OPT_INDENT_2))


def compare_with_earlier(
    path: pathlib.Path, summaries: list[_summary.ArmSummary]
) -> list[str]:
    """Returns lines that compare summaries with those of an earlier file."""
    earlier_document = orjson.loads(path.read_bytes())
    earlier_by_arm = {
        entry['arm']: entry for entry in earlier_document['summaries']
    }
    lines = [f'compared with {path.name}: earlier -> now']
    for summary in summaries:
        earlier = earlier_by_arm.get(summary.arm.value)
        if earlier is None:
            continue
        lines.append(f'== {summary.arm.value}')
        for measure, by_percentile in summary.latency_ratio.items():
            for name, ratio in by_percentile.items():
                before = earlier['latency_ratio'][measure][name]['value']
                lines.append(
                    f'  {measure} {name} ratio:'
                    f' {before:.3f} -> {ratio.value:.3f}'
                )
        share = summary.idle_tokens_share
        before_share = earlier['idle_tokens_share']
        if share is not None and before_share is not None:
            lines.append(
                '  batch tokens of idle capacity:'
                f' {before_share["value"]:.3f} -> {share.value:.3f}'
            )
    return lines
