import testtools

from siskinmount import telemetry


class RenderMetricsTest(testtools.TestCase):

    def test_render(self):
        metrics = telemetry.create_metrics()
        requests = metrics.create_counter('requests_total', 'Done.', 'service')
        requests.increment('a"b')
        requests.increment('a"b', amount=2)
        metrics.create_gauge('slots', 'Free.').set(4)
        self.assertEqual(
            b'# HELP siskinmount_requests_total Done.\n'
            b'# TYPE siskinmount_requests_total counter\n'
            b'siskinmount_requests_total{service="a\\"b"} 3\n'
            b'# HELP siskinmount_slots Free.\n'
            b'# TYPE siskinmount_slots gauge\n'
            b'siskinmount_slots 4\n',
            telemetry.render_metrics(metrics),
        )

    def test_render_histograms(self):
        histograms = telemetry.create_histograms([], lambda: 0.0)
        histograms.record('lm', 'first_token', 12)
        text = telemetry.render_metrics(telemetry.create_metrics(), histograms)
        self.assertIn(
            b'siskinmount_objective_duration_ms{service="lm",'
            b'objective="first_token",quantile="0.99"} 12',
            text,
        )

    def test_wrong_labels(self):
        counter = telemetry.create_metrics().create_counter('a', 'b', 'c')
        self.assertRaises(ValueError, counter.increment)
