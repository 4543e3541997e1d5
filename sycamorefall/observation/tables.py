"""Formats the status of a process as text tables."""

__all__ = ["format_status"]

from collections.abc import Iterable, Sequence

from sycamorefall.observation import status as status_module

OTHER_TEAMS_LABEL = "(all others)"
"""Label of the histograms shared by teams without their own."""

Rows = Iterable[Sequence[object]]


def format_status(status: status_module.ProcessStatus) -> str:
    """Formats a status as text.

    Args:
        status: Status of a router or sidecar.

    Returns:
        Lines of text: facts about the process, then tables of its teams, times
        and peers.
    """
    parts = [
        _format_facts(status),
        *_format_section(
            f"teams with requests or an account, {status.teams_total} in total",
            ("service", "team", "waiting", "oldest", "weight", "key", "served"),
            _list_teams(status),
        ),
        *_format_section(
            "times in seconds",
            ("service", "team", "time", "count", "p50", "p95", "p99", "max"),
            _list_times(status),
        ),
        *_format_section(
            "peers",
            ("vm", "role", "failure domain", "service", "state", "silent"),
            _list_peers(status),
        ),
    ]
    return "\n".join(parts)


def _format_facts(status: status_module.ProcessStatus) -> str:
    control, platform = status.control, status.platform
    replication = status.replication
    refusal = "none"
    if status.refusal:
        refusal = f"revision {status.refused_revision}: {status.refusal}"
    facts = {
        "vm": status.vm,
        **_list_role_facts(status),
        "usable": "; ".join(status.unready) or "yes",
        "stopping": "yes" if status.stopping else "no",
        "revision": status.revision,
        "refused text": refusal,
        "older offers": status.older_seen,
        "list of VMs": f"revision {status.vms_revision}",
        "control bytes": f"{control.bytes_sent} sent, "
        f"{control.bytes_received} received",
        "control lost": f"{control.dropped} dropped, {control.refused} refused",
        "platform": f"{platform.reads} reads, {platform.failures} failed, "
        f"{platform.bytes_read} bytes",
        "documents": f"{replication.fetches} fetched from peers, "
        f"{replication.failures} failed, "
        f"{replication.bytes_sent + replication.bytes_received} bytes",
        "alarms": "; ".join(
            filter(None, [*replication.alarms, replication.conflict])
        )
        or "none",
        "log lost": status.log_dropped,
        "shared key": "yes"
        if status.shared_key
        else "NO, every sender is trusted",
    }
    return "\n".join(_align(facts.items()))


def _list_role_facts(status: status_module.ProcessStatus) -> dict[str, object]:
    if isinstance(status, status_module.RouterStatus):
        return {
            "role": "router",
            "reaches": ", ".join(status.services) or "no service",
            "requests": f"{status.requests}, {status.waiting} waiting",
            "late answers": status.late_answers,
            "limits": ", ".join(
                f"{name} {value}" for name, value in status.limits.items()
            ),
        }
    return {
        "role": f"sidecar of {status.service}",
        "running": f"{status.running} of at most {status.limit}",
        "claimed": status.claimed,
    }


def _list_teams(status: status_module.ProcessStatus) -> Rows:
    return [
        (
            team.service,
            team.team,
            team.waiting,
            _format_number(team.oldest_age),
            f"{team.weight:g}",
            _format_number(team.key),
            _format_number(team.served),
        )
        for team in status.teams
    ]


def _list_times(status: status_module.ProcessStatus) -> Rows:
    return [
        (
            entry.service,
            entry.team or OTHER_TEAMS_LABEL,
            entry.time.replace("_", " "),
            entry.count,
            *map(
                _format_seconds,
                (entry.p50, entry.p95, entry.p99, entry.longest),
            ),
        )
        for entry in status.times
    ]


def _list_peers(status: status_module.ProcessStatus) -> Rows:
    return [
        (
            peer.vm,
            peer.role.value,
            peer.failure_domain,
            peer.service or "-",
            peer.state.value,
            _format_number(peer.silent_for),
        )
        for peer in status.peers
    ]


def _format_number(number: float | None) -> str:
    return "-" if number is None else f"{number:.1f}"


def _format_seconds(seconds: float) -> str:
    return f"{seconds:.4f}"


def _format_section(
    title: str, head: Sequence[str], rows: Rows
) -> tuple[str, ...]:
    rows = list(rows)
    if not rows:
        return ()
    return ("", title, *_align([head, *rows]))


def _align(rows: Rows) -> list[str]:
    """Formats rows with each column padded to the width of its longest cell."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]
