"""Counters and gauges, and their Prometheus text exposition."""

from siskinmount.telemetry import _histograms

CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'

_PREFIX = 'siskinmount_'
_QUANTILE_NAMES = ('0.5', '0.95', '0.99')


class Metric:
    """A metric with one value per combination of label values.

    Attributes:
        name: Name without the prefix `siskinmount_`.
        help_text: One-sentence description.
        label_names: Names of the labels.
    """

    __slots__ = ('name', 'help_text', 'label_names', '_values')

    def __init__(
        self, name: str, help_text: str, label_names: tuple[str, ...]
    ) -> None:
        self.name = name
        self.help_text = help_text
        self.label_names = label_names
        self._values: dict[tuple[str, ...], float] = {}

    def get(self, *label_values: str) -> float:
        """Returns the value; 0 if it was never set."""
        return self._values.get(label_values, 0)

    def list_values(self) -> list[tuple[tuple[str, ...], float]]:
        """Returns pairs of label values and value, sorted."""
        return sorted(self._values.items())

    def _check_labels(self, label_values: tuple[str, ...]) -> None:
        if len(label_values) != len(self.label_names):
            raise ValueError(
                f'metric {self.name} requires the labels {self.label_names}'
            )


class Counter(Metric):
    """A metric that only increases."""

    __slots__ = ()

    def increment(self, *label_values: str, amount: float = 1) -> None:
        """Increases the value."""
        self._check_labels(label_values)
        self._values[label_values] = self.get(*label_values) + amount


class Gauge(Metric):
    """A metric that can increase and decrease."""

    __slots__ = ()

    def set(self, value: float, *label_values: str) -> None:
        """Sets the value."""
        self._check_labels(label_values)
        self._values[label_values] = value

    def remove(self, *label_values: str) -> None:
        """Removes the value for label values that are no longer in use."""
        self._values.pop(label_values, None)


class Metrics:
    """Registry of the metrics of one process."""

    __slots__ = ('_metrics',)

    def __init__(self) -> None:
        self._metrics: dict[str, Metric] = {}

    def create_counter(
        self, name: str, help_text: str, *label_names: str
    ) -> Counter:
        """Registers a counter; its name must end in `_total`."""
        counter = Counter(name, help_text, label_names)
        self._add(counter)
        return counter

    def create_gauge(
        self, name: str, help_text: str, *label_names: str
    ) -> Gauge:
        """Registers a gauge."""
        gauge = Gauge(name, help_text, label_names)
        self._add(gauge)
        return gauge

    def list_metrics(self) -> list[Metric]:
        """Returns all metrics, sorted by name."""
        return [self._metrics[name] for name in sorted(self._metrics)]

    def _add(self, metric: Metric) -> None:
        if metric.name in self._metrics:
            raise ValueError(f'metric {metric.name} is already registered')
        self._metrics[metric.name] = metric


def create_metrics() -> Metrics:
    """Returns an empty metrics registry."""
    return Metrics()


def render_metrics(
    metrics: Metrics, histograms: _histograms.Histograms | None = None
) -> bytes:
    """Renders metrics and histograms in the Prometheus text format."""
    lines: list[str] = []
    for metric in metrics.list_metrics():
        _render_metric(lines, metric)
    if histograms is not None:
        _render_histograms(lines, histograms)
    return ('\n'.join(lines) + '\n').encode()


def _render_metric(lines: list[str], metric: Metric) -> None:
    kind = 'counter' if isinstance(metric, Counter) else 'gauge'
    name = _PREFIX + metric.name
    lines.append(f'# HELP {name} {metric.help_text}')
    lines.append(f'# TYPE {name} {kind}')
    for label_values, value in metric.list_values():
        labels = _render_labels(metric.label_names, label_values)
        lines.append(f'{name}{labels} {value:.12g}')


def _render_histograms(
    lines: list[str], histograms: _histograms.Histograms
) -> None:
    """Renders the current hour of each series."""
    duration = _PREFIX + 'objective_duration_ms'
    outcome = _PREFIX + 'objective_outcomes'
    summaries = histograms.summarize()
    label_names = ('service', 'objective')
    lines.append(f'# HELP {duration} Durations in this clock hour.')
    lines.append(f'# TYPE {duration} gauge')
    for summary in summaries:
        if not summary.count:
            continue
        quantiles_ms = (summary.p50_ms, summary.p95_ms, summary.p99_ms)
        for quantile, value_ms in zip(
            _QUANTILE_NAMES, quantiles_ms, strict=True
        ):
            labels = _render_labels(
                (*label_names, 'quantile'),
                (summary.service, summary.objective, quantile),
            )
            lines.append(f'{duration}{labels} {value_ms:.12g}')
    lines.append(f'# HELP {outcome} Good and bad events in this clock hour.')
    lines.append(f'# TYPE {outcome} gauge')
    for summary in summaries:
        for name, count in (('good', summary.good), ('bad', summary.bad)):
            labels = _render_labels(
                (*label_names, 'outcome'),
                (summary.service, summary.objective, name),
            )
            lines.append(f'{outcome}{labels} {count}')


def _render_labels(names: tuple[str, ...], values: tuple[str, ...]) -> str:
    if not names:
        return ''
    pairs: list[str] = []
    for name, value in zip(names, values, strict=True):
        escaped = (
            value.replace('\\', r'\\').replace('"', r'\"').replace('\n', r'\n')
        )
        pairs.append(f'{name}="{escaped}"')
    return '{' + ','.join(pairs) + '}'
