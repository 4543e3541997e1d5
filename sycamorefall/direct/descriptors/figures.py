"""Metrics of descriptors by use, and of what was refused for want of them."""

__all__ = ["list_metrics"]

from collections.abc import Iterator
from typing import TYPE_CHECKING

from prometheus_client import metrics_core

from sycamorefall.observation import metrics

if TYPE_CHECKING:
    from sycamorefall.direct import daemon as daemon_module


def list_metrics(
    daemon: "daemon_module.Daemon",
) -> Iterator[metrics_core.Metric]:
    """Collects the metrics of connections.

    Args:
        daemon: The process.

    Yields:
        The metrics.
    """
    server, client, divided = daemon.servers[0], daemon.client, daemon.division
    limits = {
        ("callers",): divided.callers,
        ("refusals",): divided.refusals,
        ("upstreams",): divided.upstreams,
        ("control",): divided.control,
    }
    excess = len(server.acceptor.excess_timeouts)
    yield metrics.create_gauge(
        "connections",
        "Open connections by use, idle ones included.",
        ("use",),
        {
            ("callers",): server.open_count - excess,
            ("refusals",): excess,
            ("upstreams",): client.open_count,
            ("control",): daemon.control.link_count,
        },
    )
    yield metrics.create_gauge(
        "connections_limit",
        "Highest number of connections by use, where one is known.",
        ("use",),
        {use: limit for use, limit in limits.items() if limit is not None},
    )
    yield metrics.create_counter(
        "connections_refused",
        "Callers refused as there was no room for their connections, and "
        "connections that the kernel had no descriptor for.",
        ("reason",),
        {
            ("limit",): server.acceptor.refused,
            ("accept",): server.acceptor.exhausted,
            ("open",): client.unopened,
            ("control",): daemon.control.unopened,
        },
    )
