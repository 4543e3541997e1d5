"""HTTP pages for the balancer and operators: live, ready, status, metrics."""

__all__ = [
    "Pages",
    "collect_common_status",
    "handle_page_call",
    "list_metrics",
]

from collections.abc import Callable, Collection, Iterable, Iterator
import dataclasses
import ipaddress
import time

import msgspec
from prometheus_client import metrics_core

from sycamorefall import (
    errors,
    membership,
    observation,
    replication,
    settings,
    transport,
)
from sycamorefall import node as node_module
from sycamorefall.observation import metrics as metrics_module
from sycamorefall.observation import status as status_module

LIVE_PATH = "/live"
READY_PATH = "/ready"
STATUS_PATH = "/status"
METRICS_PATH = "/metrics"

FULL_HISTOGRAMS_QUERY = "histograms"
"""Query string of `/status` that requests full histograms."""

_JSON = (("Content-Type", "application/json"),)
_TEXT = (("Content-Type", metrics_module.CONTENT_TYPE),)


class Readiness(msgspec.Struct, frozen=True):
    """JSON body of `/ready`: whether the process is ready, and if not, why."""

    ready: bool
    reasons: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True)
class Pages:
    """Sources of the content of a process's pages.

    Attributes:
        listen: Addresses at which the process listens.
        list_unready_reasons: Returns the reasons why the process isn't ready.
        build_status: Returns the status; its argument tells whether full
            histograms are included.
        list_metrics: Returns the metrics.
    """

    listen: settings.ListenSettings
    list_unready_reasons: Callable[[], tuple[str, ...]]
    build_status: Callable[[bool], status_module.ProcessStatus]
    list_metrics: Callable[[], Iterable[metrics_core.Metric]]


def handle_page_call(
    pages: Pages, call: transport.IncomingCall, for_operators: bool
) -> bool:
    """Responds to an HTTP call if it requests one of the pages.

    `/live` and `/ready` are for the balancer and served at all HTTP addresses.
    `/status` and `/metrics` contain names of teams and VMs, so callers must not
    get them: they are served at the operators' address or, if the settings have
    none, at the data address to clients on this VM.

    Args:
        pages: Sources of the pages' content.
        call: The HTTP call.
        for_operators: Whether the call was received at the operators' address.

    Returns:
        Whether the call requested one of the pages.
    """
    if call.path == LIVE_PATH:
        call.respond(200, b"{}", _JSON)
    elif call.path == READY_PATH:
        reasons = pages.list_unready_reasons()
        body = msgspec.json.encode(Readiness(not reasons, reasons))
        call.respond(503 if reasons else 200, body, _JSON)
    elif call.path not in (STATUS_PATH, METRICS_PATH):
        return False
    elif not (for_operators or _is_local_operator(pages.listen, call)):
        call.fail(errors.ErrorKind.UNKNOWN_SERVICE)
    elif call.path == STATUS_PATH:
        shown = pages.build_status(call.query == FULL_HISTOGRAMS_QUERY)
        call.respond(200, msgspec.json.encode(shown), _JSON)
    else:
        text = metrics_module.format_metrics(pages.list_metrics())
        call.respond(200, text, _TEXT)
    return True


def _is_local_operator(
    listen: settings.ListenSettings, call: transport.IncomingCall
) -> bool:
    if listen.operators is not None:
        return False
    return ipaddress.ip_address(call.remote).is_loopback


def collect_common_status(
    node: node_module.Node,
    recorder: observation.Recorder,
    now: float,
    linked: Collection[str],
    full_histograms: bool,
) -> dict[str, object]:
    """Collects the status fields that routers and sidecars have in common.

    Args:
        node: The process.
        recorder: Counters and histograms of the process.
        now: Current time of this process's clock.
        linked: Names of the VMs that the process has a link to.
        full_histograms: Whether to include full histograms.

    Returns:
        Keyword arguments of `status.ProcessStatus`, except those about teams
        and readiness.
    """
    core = node.core
    versions = core.versions
    return {
        "vm": core.vm,
        "incarnation": core.incarnation,
        "taken_at": time.time(),
        "revision": versions.in_force,
        "refused_revision": versions.revision if versions.refusal else 0,
        "refusal": versions.refusal,
        "older_seen": versions.older_seen,
        "vms_revision": core.directory.revision,
        "stopping": node.stopping,
        "peers": status_module.summarize_peers(core.directory, now, linked),
        "control": status_module.ControlStatus(
            node.control.bytes_sent,
            node.control.bytes_received,
            node.control.dropped,
            node.control.refused,
        ),
        "platform": status_module.PlatformStatus(
            node.reader.reads, node.reader.failures, node.reader.bytes_read
        ),
        "replication": _build_replication_status(node),
        "times": status_module.summarize_times(
            recorder.histograms, full_histograms
        ),
        "log_dropped": node.log.dropped,
        "shared_key": node.authenticator.enabled,
    }


def _build_replication_status(
    node: node_module.Node,
) -> status_module.ReplicationStatus:
    versions = node.replica.current_versions
    document = versions.document
    return status_module.ReplicationStatus(
        settled=node.replica.settled,
        watching=node.reader.is_watching,
        digest=document.digest[:12] if document else "",
        conflict=versions.conflict,
        alarms=replication.describe_alarms(node.replica),
        older_lists=node.core.directory.older_seen,
        outdated=node.core.directory.outdated,
        fetches=node.exchanger.fetches,
        failures=node.exchanger.failures,
        bytes_sent=node.exchanger.bytes_sent,
        bytes_received=node.exchanger.bytes_received,
    )


def list_common_unready_reasons(node: node_module.Node) -> tuple[str, ...]:
    """Lists the reasons why a process isn't ready that both roles share."""
    core = node.core
    own = core.directory.vms.get(core.vm)
    reasons = {
        "no configuration is in force": core.versions.configuration is None,
        "this VM is not in the platform's list": own is None,
        "this VM is marked as leaving": own is not None
        and own.state is membership.VmState.LEAVING,
        "stopping": node.stopping,
    }
    return tuple(reason for reason, applies in reasons.items() if applies)


def list_metrics(
    node: node_module.Node,
    recorder: observation.Recorder,
    now: float,
    linked: Collection[str],
) -> Iterator[metrics_core.Metric]:
    """Lists the metrics that routers and sidecars have in common.

    Args:
        node: The process.
        recorder: Counters and histograms of the process.
        now: Current time of this process's clock.
        linked: Names of the VMs that the process has a link to.

    Yields:
        The metrics.
    """
    core, control = node.core, node.control
    peers = status_module.summarize_peers(core.directory, now, linked)
    states = [peer.state.value for peer in peers]
    versions = core.versions
    gauge, count = metrics_module.create_gauge, metrics_module.create_counter
    yield from metrics_module.list_recorder_metrics(recorder)
    yield gauge("open", "In progress.", (), {(): recorder.in_progress})
    yield gauge(
        "revision", "Configuration in force.", (), {(): versions.in_force}
    )
    yield gauge(
        "configuration_refused",
        "1 while a later text is refused.",
        (),
        {(): bool(versions.refusal)},
    )
    yield gauge(
        "peers",
        "Other processes, by what this one thinks of them.",
        ("state",),
        {
            (state.value,): states.count(state.value)
            for state in status_module.PeerState
        },
    )
    yield count(
        "control_bytes",
        "Control messages, platform reads, documents between peers.",
        ("direction",),
        {
            ("sent",): control.bytes_sent,
            ("received",): control.bytes_received,
            ("platform",): node.reader.bytes_read,
            ("peers_sent",): node.exchanger.bytes_sent,
            ("peers_received",): node.exchanger.bytes_received,
        },
    )
    yield gauge(
        "alarms",
        "What operators have to mend at the platform; status says what.",
        (),
        {(): len(replication.describe_alarms(node.replica))},
    )
    yield count(
        "control_lost",
        "Control messages dropped or refused.",
        ("cause",),
        {("dropped",): control.dropped, ("refused",): control.refused},
    )
    yield count(
        "platform_reads",
        "Reads of the platform.",
        ("result",),
        {
            ("failed",): node.reader.failures,
            ("sent",): node.reader.reads,
        },
    )
    yield metrics_module.create_closings_counter(
        transport.count_closings(
            server.closings for server in node_module.list_servers(node)
        )
    )
    yield count("log_dropped", "Log records lost.", (), {(): node.log.dropped})
