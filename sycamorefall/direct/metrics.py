"""Metrics of a router that sends directly to upstreams."""

__all__ = ["list_metrics"]

from collections.abc import Iterator
from typing import TYPE_CHECKING

from prometheus_client import metrics_core

from sycamorefall import transport
from sycamorefall.direct import (
    backlog,
    descriptors,
    fingerprints,
    pacing,
    speed,
)
from sycamorefall.direct import exchange as exchange_module
from sycamorefall.direct import totals as totals_module
from sycamorefall.direct import upstreams as upstreams_module
from sycamorefall.observation import metrics

if TYPE_CHECKING:
    from sycamorefall.direct import daemon as daemon_module


def list_metrics(
    daemon: "daemon_module.Daemon", now: float
) -> Iterator[metrics_core.Metric]:
    """Collects the metrics of a router process.

    Args:
        daemon: The process.
        now: Current time of this process's clock.

    Yields:
        The metrics.
    """
    state, control = daemon.state, daemon.control
    gauge, count = metrics.create_gauge, metrics.create_counter
    yield from metrics.list_recorder_metrics(daemon.proxy.recorder)
    yield gauge("open", "In progress.", (), {(): len(state.requests)})
    yield gauge(
        "revision",
        "Configuration in force.",
        (),
        {(): state.catalog.version if state.catalog else 0},
    )
    yield gauge(
        "configuration_age_seconds",
        "Since the last proof that the configuration was the newest.",
        (),
        {(): now - state.freshness.proven_at},
    )
    yield gauge(
        "routers", "Routers heard, this one included.", (), {(): state.routers}
    )
    parts = sum(map(fingerprints.is_part, state.quarantine.quarantined))
    yield gauge(
        "quarantined_requests",
        "Requests that are refused as upstreams that ran them crashed.",
        (),
        {(): len(state.quarantine.quarantined) - parts},
    )
    yield gauge(
        "quarantined_parts",
        "Parts of prompts that are refused as upstreams crashed on them.",
        (),
        {(): parts},
    )
    yield gauge(
        "stream_origins",
        "Streams whose software version this router knows.",
        (),
        {(): len(state.origins.known)},
    )
    yield gauge(
        "stream_lookups",
        "Streams whose software version other routers were asked for.",
        (),
        {(): len(state.origins.lookups)},
    )
    yield gauge(
        "upstreams",
        "Upstreams by service, and whether they get work.",
        ("service", "usable"),
        _count_upstreams(state.table, now),
    )
    yield gauge(
        "restricted_upstreams",
        "Upstreams that are evacuated, or cold and so get few requests.",
        ("service", "reason"),
        _count_restricted(state.table, now),
    )
    yield gauge(
        "engine_scale",
        "How long work takes at an engine now, relative to one of scale 1.",
        ("upstream",),
        _list_scales(state.table, now),
    )
    yield gauge(
        "engine_read_rate",
        "Prompt tokens a second that an engine of scale 1 reads.",
        ("service",),
        {
            (service,): rate
            for service, reference in state.table.speeds.items()
            if (rate := speed.estimate_read_rate(reference)) is not None
        },
    )
    yield gauge(
        "team_received_units",
        "Recent service of the best served team, and of the least served one "
        "that waits at any router, while one does.",
        ("service", "team"),
        {
            (one.service, team): getattr(one, team)
            for one in backlog.list_spreads(state, now)
            for team in ("most", "least")
        },
    )
    ages = totals_module.compute_account_ages(daemon.exchange.totals, now)
    yield gauge(
        "team_accounts_age_seconds",
        "Age of the oldest service of teams that other routers reported, by "
        "whose it is.",
        ("scope",),
        {(scope.name.lower(),): age for scope, age in ages.items()},
    )
    yield gauge(
        "control_lateness_seconds",
        "How much longer the last messages of routers were on their way than "
        "the fastest ones; the upper quartile.",
        (),
        {(): exchange_module.find_lateness(daemon.exchange, now)},
    )
    yield gauge(
        "loop_lateness_seconds",
        "Recent lateness of the event loop, decayed; 0 if each pass was late "
        "by less than 0.05 s.",
        (),
        {(): state.overload.lateness},
    )
    yield count(
        "retries",
        "Sends of a request after one that may have reached an upstream, by "
        "whether the budget had one left; a waiting request asks repeatedly.",
        ("service", "result"),
        {
            (service, result): getattr(known, result)
            for service, known in state.budgets.items()
            for result in ("sent", "refused")
        },
    )
    yield count(
        "control_bytes",
        "Messages between routers.",
        ("direction",),
        {
            ("sent",): control.bytes_sent,
            ("received",): control.bytes_received,
        },
    )
    yield count(
        "control_sent_bytes",
        "Messages to other routers, by failure domain and kind.",
        ("place", "kind"),
        dict(control.bytes_sent_by_kind),
    )
    yield count(
        "platform_reads",
        "Reads of the platform by kind and how they ended.",
        ("kind", "end"),
        dict(daemon.replicator.reads),
    )
    yield gauge(
        "platform_era",
        "Era of the platform's records; it rises when the platform is restored "
        "from a copy.",
        (),
        {(): daemon.replicator.get_era()},
    )
    yield count(
        "platform_restorations",
        "Restorations of the platform that this process learned of.",
        (),
        {(): daemon.replicator.restorations},
    )
    yield count(
        "control_lost",
        "Control messages dropped or refused.",
        ("cause",),
        {
            ("dropped",): control.dropped,
            ("refused",): control.refused,
            ("unknown_names",): control.unknown_names_dropped,
        },
    )
    yield from descriptors.list_metrics(daemon)
    yield metrics.create_closings_counter(
        transport.count_closings(server.closings for server in daemon.servers)
    )
    yield count(
        "shed",
        "Requests refused unread, as the process was behind.",
        (),
        {(): daemon.servers[0].shed},
    )
    yield count(
        "log_dropped", "Log records lost.", (), {(): daemon.log.dropped}
    )


def _count_upstreams(
    table: upstreams_module.UpstreamTable, now: float
) -> dict[tuple[str, str], int]:
    """Counts upstreams by service and by whether they are usable."""
    counts: dict[tuple[str, str], int] = {}
    for service, group in table.by_service.items():
        usable = sum(upstreams_module.is_usable(one, now) for one in group)
        counts[service, "yes"] = usable
        counts[service, "no"] = len(group) - usable
    return counts


def _list_scales(
    table: upstreams_module.UpstreamTable, now: float
) -> dict[tuple[str], float]:
    """Lists the scales of the engines that have one other than usual."""
    return {
        (name,): scale
        for name, one in table.by_name.items()
        if (scale := speed.compute_scale(one.speed, now)) != 1.0
    }


def _count_restricted(
    table: upstreams_module.UpstreamTable, now: float
) -> dict[tuple[str, str], int]:
    """Counts evacuated and cold upstreams by service and reason."""
    counts: dict[tuple[str, str], int] = {}
    for service, group in table.by_service.items():
        counts[service, "evacuated"] = sum(one.evacuated for one in group)
        counts[service, "cold"] = sum(
            pacing.is_cold(one.pacing, now) for one in group
        )
    return counts
