"""Renders the burn report as one self-contained HTML page."""

import importlib.resources

import jinja2

from siskinmount import telemetry
from siskinmount.commands import _burn_report
from siskinmount.commands import _burn_text
from siskinmount.commands import _jobs_command

_TEMPLATE_NAME = 'burn_page.html'
_PLOT_WIDTH = 360.0
_PLOT_HEIGHT = 80.0
# Smallest value at the upper edge of a plot, so that low burn rates are drawn
# low.
_MIN_PLOT_RATE = 2.0
_MS_PER_S = 1000


class Plot:
    """Line plot of burn rates.

    Attributes:
        title: Caption of the plot.
        points: Coordinates for an SVG `polyline`.
        top_rate: Burn rate at the upper edge.
        budget_y: Vertical coordinate of burn rate 1.
        width: Width in SVG units.
        height: Height in SVG units.
    """

    __slots__ = (
        'title',
        'points',
        'top_rate',
        'budget_y',
        'width',
        'height',
    )

    def __init__(self, title: str, points: list[telemetry.BurnPoint]) -> None:
        rates = [point.burn_rate for point in points]
        self.title = title
        self.top_rate = max([_MIN_PLOT_RATE, *rates])
        self.width = _PLOT_WIDTH
        self.height = _PLOT_HEIGHT
        step = _PLOT_WIDTH / max(1, len(rates) - 1)
        coordinates = [
            f'{position * step:.1f},{self._get_y(rate):.1f}'
            for position, rate in enumerate(rates)
        ]
        self.points = ' '.join(coordinates)
        self.budget_y = self._get_y(1)

    def _get_y(self, rate: float) -> float:
        return _PLOT_HEIGHT * (1 - rate / self.top_rate)


class ObjectiveView:
    """Template data of one objective.

    Attributes:
        burn: Burn rates of the objective.
        description: Target of the objective.
        windows: Pairs of the window's name and its burn.
        plots: Plots of the burn rate over time.
    """

    __slots__ = ('burn', 'description', 'windows', 'plots')

    def __init__(self, burn: _burn_report.ObjectiveBurn) -> None:
        self.burn = burn
        self.description = _burn_text.describe_objective(burn)
        self.windows: list[tuple[str, telemetry.WindowBurn]] = []
        for window in burn.windows:
            name = _burn_text.get_window_name(window.window_s).lower()
            self.windows.append((name, window))
        self.plots = [
            Plot('last hour, by minute', burn.minutes),
            Plot('last 3 days, by hour', burn.hours),
        ]


def render_page(report: _burn_report.BurnReport) -> str:
    """Returns the report as HTML."""
    environment = jinja2.Environment(
        autoescape=True,
        trim_blocks=True,
        lstrip_blocks=True,
        undefined=jinja2.StrictUndefined,
    )
    environment.filters['rate'] = _burn_text.format_rate
    template = environment.from_string(_read_template())
    now_ms = int(report.now_s * _MS_PER_S)
    return template.render(
        report=report,
        time=_jobs_command.format_time_ms(now_ms),
        objectives=[ObjectiveView(burn) for burn in report.objectives],
        job_headings=_jobs_command.HEADINGS,
        jobs=[_jobs_command.format_job(j) for j in report.list_jobs_at_risk()],
    )


def _read_template() -> str:
    package = importlib.resources.files('siskinmount.commands')
    return package.joinpath(_TEMPLATE_NAME).read_text(encoding='utf-8')
