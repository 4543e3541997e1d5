"""Metrics of a process in the Prometheus text format."""

__all__ = [
    "CONTENT_TYPE",
    "PREFIX",
    "create_closings_counter",
    "create_counter",
    "create_gauge",
    "format_metrics",
    "list_recorder_metrics",
]

from collections.abc import Iterable, Iterator, Mapping

import prometheus_client
from prometheus_client import metrics_core

from sycamorefall.observation import histograms as histograms_module
from sycamorefall.observation import recorder as recorder_module

CONTENT_TYPE = prometheus_client.CONTENT_TYPE_PLAIN_0_0_4
"""Media type of the Prometheus text format."""

PREFIX = "sycamorefall_"

QUANTILES = (0.5, 0.9, 0.95, 0.99, 1.0)
"""Quantiles of the times in the summary metrics."""

ValuesByLabels = Mapping[tuple[str, ...], float]
"""Values of a metric by its label values."""


class _MetricCollector:
    """Adapts metrics to the interface of a Prometheus registry."""

    __slots__ = ("_metrics",)

    def __init__(self, metrics: Iterable[metrics_core.Metric]):
        self._metrics = metrics

    def collect(self) -> Iterable[metrics_core.Metric]:
        """Returns the metrics."""
        return self._metrics


def format_metrics(metrics: Iterable[metrics_core.Metric]) -> bytes:
    """Formats metrics in the Prometheus text format.

    Args:
        metrics: The metrics.

    Returns:
        The encoded text.

    Example:
        >>> held = create_gauge("held", "Held.", (), {(): 2.0})
        >>> format_metrics([held]).splitlines()[-1]
        b'sycamorefall_held 2.0'
    """
    return prometheus_client.generate_latest(_MetricCollector(metrics))


def create_gauge(
    name: str, text: str, labels: tuple[str, ...], values: ValuesByLabels
) -> metrics_core.Metric:
    """Creates a gauge: a metric whose value can go down.

    Args:
        name: Name of the metric without `PREFIX`.
        text: Help text of one line.
        labels: Names of the labels.
        values: Values by label values.

    Returns:
        The metric.
    """
    metric = metrics_core.GaugeMetricFamily(PREFIX + name, text, labels=labels)
    for label_values, value in values.items():
        metric.add_metric(label_values, value)
    return metric


def create_counter(
    name: str, text: str, labels: tuple[str, ...], values: ValuesByLabels
) -> metrics_core.Metric:
    """Creates a counter, which never goes down; arguments as `create_gauge`."""
    metric = metrics_core.CounterMetricFamily(
        PREFIX + name, text, labels=labels
    )
    for label_values, value in sorted(values.items()):
        metric.add_metric(label_values, value)
    return metric


def create_closings_counter(values: ValuesByLabels) -> metrics_core.Metric:
    """Creates the counter of closed connections.

    Args:
        values: Numbers by channel of the server, reason and state.
    """
    return create_counter(
        "connections_closed",
        "Callers' connections that were closed, by why and what was on them.",
        ("channel", "reason", "state"),
        values,
    )


def list_recorder_metrics(
    recorder: recorder_module.Recorder,
) -> Iterator[metrics_core.Metric]:
    """Lists the request counters, event counters and time summaries."""
    yield create_counter(
        "requests",
        "Requests that ended, by result.",
        ("service", "result"),
        recorder.requests,
    )
    yield create_counter(
        "events",
        "Other events, by kind.",
        ("event", "detail"),
        recorder.events,
    )
    recorded = list(histograms_module.list_histograms(recorder.histograms))
    for kind in histograms_module.TimeKind:
        yield _create_summary(kind, recorded)


def _create_summary(
    kind: histograms_module.TimeKind, recorded: list
) -> metrics_core.Metric:
    name = f"{PREFIX}{kind.label}_seconds"
    text = (
        f"{kind.text}; team by team for the busiest, the empty one all others."
    )
    metric = metrics_core.Metric(name, text, "summary")
    for service, team, own_kind, histogram in recorded:
        if own_kind is not kind:
            continue
        labels = {"service": service, "team": team}
        values = histogram.compute_quantiles(QUANTILES)
        for quantile, value in zip(QUANTILES, values, strict=True):
            by_quantile = labels | {"quantile": str(quantile)}
            metric.add_sample(name, by_quantile, value)
        metric.add_sample(f"{name}_sum", labels, histogram.seconds)
        metric.add_sample(f"{name}_count", labels, histogram.count)
    return metric
