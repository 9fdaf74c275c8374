"""JSON-lines logs, metrics, and histograms of objectives."""

from siskinmount.telemetry._histograms import create_hdr_histogram
from siskinmount.telemetry._histograms import create_histograms
from siskinmount.telemetry._histograms import decode_hdr_histogram
from siskinmount.telemetry._histograms import Histograms
from siskinmount.telemetry._histograms import ObjectiveBound
from siskinmount.telemetry._histograms import Summary
from siskinmount.telemetry._histograms import WindowSnapshot
from siskinmount.telemetry._logging_setup import configure_logging
from siskinmount.telemetry._logging_setup import create_formatter
from siskinmount.telemetry._metrics import CONTENT_TYPE
from siskinmount.telemetry._metrics import Counter
from siskinmount.telemetry._metrics import create_metrics
from siskinmount.telemetry._metrics import Gauge
from siskinmount.telemetry._metrics import Metrics
from siskinmount.telemetry._metrics import render_metrics
