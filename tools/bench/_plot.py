"""Draws the comparison of the arms."""

import pathlib

import matplotlib
from matplotlib import pyplot

from tools import load
from tools.bench import _settings
from tools.bench import _summary

matplotlib.use('Agg')

_WIDTH_INCHES = 12
_HEIGHT_INCHES = 4


def draw_summaries(
    path: pathlib.Path,
    setting: _settings.BenchSetting,
    summaries: list[_summary.ArmSummary],
) -> None:
    """Writes an image of the latency ratios and the use of idle capacity."""
    figure, axes = pyplot.subplots(
        1, 3, figsize=(_WIDTH_INCHES, _HEIGHT_INCHES)
    )
    names = [f'p{percentile:g}' for percentile in load.PERCENTILES]
    for axis, measure in zip(axes, _summary.MEASURES, strict=False):
        for summary in summaries:
            if not summary.latency_ratio:
                continue
            ratios = summary.latency_ratio[measure]
            values = [ratios[name].value for name in names]
            below = [ratios[n].value - ratios[n].low for n in names]
            above = [ratios[n].high - ratios[n].value for n in names]
            axis.errorbar(
                names,
                values,
                yerr=[
                    [max(0.0, value) for value in below],
                    [max(0.0, value) for value in above],
                ],
                marker='o',
                capsize=3,
                label=summary.arm.value,
            )
        axis.set_title(f'{measure}: ratio to online alone')
        axis.set_yscale('log')
        axis.legend(fontsize='small')
    with_idle_share = [s for s in summaries if s.idle_tokens_share is not None]
    axes[2].bar(
        [summary.arm.value for summary in with_idle_share],
        [summary.idle_tokens_share.value for summary in with_idle_share],
    )
    axes[2].set_title('batch tokens as a share of idle capacity')
    axes[2].tick_params(axis='x', labelrotation=20)
    figure.suptitle(setting.name)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
