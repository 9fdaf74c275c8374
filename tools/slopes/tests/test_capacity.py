import testtools

from tools.slopes import _capacity
from tools.slopes import _figures


def _create_measured_figures():
    """Returns all required figures with the value 1.

    The expected costs then follow from the sizes of the target alone.
    """
    return {
        measurement: [_figures.Figure(name, 1.0, '') for name in names]
        for measurement, names in _capacity._REQUIRED_FIGURES.items()
    }


_TARGET = _capacity.CapacityTarget(
    entries=2,
    sidecars=8,
    requests_per_s=10,
    tokens_per_s=1000,
    between_tokens_ms=100,
    items_per_day=86_400,
    jobs=5,
    largest_job_items=2_000_000,
    callers=3000,
    failure_domains=6,
    regions=2,
    changes_per_day=86_400,
    state_streams=2,
    sidecar_peers=1,
    entry_peers=1,
    snapshot_after_bytes=2_000_000,
)

_TABLE = (
    ('entry: requests', 5.0),
    ('entry: tokens', 500.0),
    ('entry: cores for requests', 0.005),
    ('entry: cores for tokens', 0.5),
    ('entry: processes a VM', 2),
    ('entry: cores after a loss of a domain, its region alone', 0.7575),
    ('entry: open streams', 50.0),
    ('entry: memory of open streams', 0.05),
    ('entry: memory of all members', 0.01),
    ('entry: memory of all callers', 3.0),
    ('entry: memory, with no state stream', 4.06),
    ('entry: heartbeats received', 5.0),
    ('entry: control calls', 0.6),
    ('entry: idle pulls of all sidecars', 7.2),
    ('entry: upstreams known of one model', 0.4),
    ('entry: chance to know no upstream of a model', 0.0),
    ('sidecar: tokens', 125.0),
    ('sidecar: control bytes, both directions', 0.002),
    ('log: batch items', 1.0),
    ('log: most appends of all state streams', 50.0),
    ('log: items and results', 2e-6),
    ('log: results carried forward', 3e-6),
    ('stream: items kept', 0.0864),
    ('stream: index of the largest job', 2.0),
    ('stream: replay', 1.0864),
    ('configuration: one change', 3.0),
    ('configuration: document', 3.0),
    ('configuration: longest until in force at a sidecar', 1.203),
)


class CapacityTest(testtools.TestCase):

    def test_costs_are_computed_from_slopes(self):
        slopes = _capacity.read_slopes(_create_measured_figures())
        results = {
            figure.name: figure.value
            for figure in _capacity.compute_costs(_TARGET, slopes)
        }
        for name, expected in _TABLE:
            self.assertAlmostEqual(expected, results[name], 9, name)

    def test_missing_figure_raises_key_error(self):
        measured = _create_measured_figures()
        measured['entry_slopes'].pop()
        self.assertRaises(KeyError, _capacity.read_slopes, measured)


class FiguresTest(testtools.TestCase):

    def test_lines_without_figures_are_skipped(self):
        output = b'noise\n{"figure":"a","value":2,"unit":"ms"}\n[1]\n'
        (figure,) = _figures.parse_figures(output)
        self.assertEqual(('a', 2.0), (figure.name, figure.value))
