"""What a router process does at certain times."""

__all__ = ["find_next_due", "run", "send_messages", "send_origins"]

from collections.abc import Callable
import dataclasses
import functools
from typing import TYPE_CHECKING

from sycamorefall import messages, observation
from sycamorefall.direct import (
    backlog,
    core,
    descriptors,
    faults,
    relay,
    unread_demand,
)
from sycamorefall.direct import crash_exchange as crash_exchange_module
from sycamorefall.direct import exchange as exchange_module
from sycamorefall.direct import origin_exchange as origin_exchange_module
from sycamorefall.direct import overload as overload_module
from sycamorefall.direct import totals as totals_module
from sycamorefall.direct import upstreams as upstreams_module

if TYPE_CHECKING:
    from sycamorefall.direct import daemon as daemon_module

DIVISION_INTERVAL = 1.0
"""Seconds between two looks at how many connections there may be."""

FAULT_PAUSE = 0.05
"""Seconds without timers after one that raised. A fault that stays due would
otherwise take all processor time."""


def find_next_due(daemon: "daemon_module.Daemon") -> float:
    """Returns when `run` next has work."""
    due = min(
        core.find_next_due(daemon.state),
        daemon.client.find_next_due(),
        daemon.replicator.find_next_due(),
        upstreams_module.find_grace_end(daemon.state.table),
        exchange_module.find_next_due(daemon.exchange, daemon.state),
        crash_exchange_module.find_next_due(
            daemon.crash_exchange, daemon.state
        ),
        origin_exchange_module.find_next_due(
            daemon.origin_exchange, daemon.state
        ),
        daemon.next_stop_check_at,
        *(server.find_next_due() for server in daemon.servers),
    )
    return max(due, daemon.timers_resume_at)


def run(
    daemon: "daemon_module.Daemon",
    now: float,
    continue_stop: Callable[["daemon_module.Daemon", float], None],
) -> None:
    """Runs all that is due.

    Guards against a step that raises: the steps after it would be left out,
    each time, and the effects that it had decided would be lost.

    Args:
        daemon: The process.
        now: Current time of this process's clock.
        continue_stop: Continues the stop of a stopping process.
    """
    if now >= daemon.next_division_at:
        daemon.next_division_at = now + DIVISION_INTERVAL
        faults.contain(lambda: descriptors.apply_limits(daemon))
    read_until = daemon.ticker.input_read_until
    steps = (
        lambda: _record_lateness(daemon, now),
        lambda: daemon.client.expire(now, read_until),
        *(functools.partial(server.expire, now) for server in daemon.servers),
        lambda: _send_due_messages(daemon, now),
        lambda: daemon.replicator.run(now, read_until),
        lambda: _drop_missing_upstreams(daemon, now),
        daemon.log.flush,
        lambda: relay.perform_effects(
            daemon.proxy, core.run_timers(daemon.state, now)
        ),
        lambda: _log_backlog(daemon, now),
    )
    failed = sum(not faults.contain(step) for step in steps)
    if failed:
        daemon.timers_resume_at = now + FAULT_PAUSE
    if failed or daemon.proxy.faulted:
        faults.contain(lambda: relay.drop_orphans(daemon.proxy))
    if now >= daemon.next_stop_check_at:
        continue_stop(daemon, now)


def _send_due_messages(daemon: "daemon_module.Daemon", now: float) -> None:
    if now >= exchange_module.find_next_due(daemon.exchange, daemon.state):
        _send_loads(daemon, now)
    if now >= crash_exchange_module.find_next_due(
        daemon.crash_exchange, daemon.state
    ):
        _send_crash_reports(daemon, now)
    if now >= origin_exchange_module.find_next_due(
        daemon.origin_exchange, daemon.state
    ):
        send_origins(daemon, now)


def _send_loads(daemon: "daemon_module.Daemon", now: float) -> None:
    outbound = exchange_module.build_due_messages(
        daemon.exchange, daemon.state, now
    )
    daemon.control.retain_peers(exchange_module.list_addresses(daemon.exchange))
    send_messages(daemon, outbound)


def _send_crash_reports(daemon: "daemon_module.Daemon", now: float) -> None:
    outbound = crash_exchange_module.build_due_messages(
        daemon.crash_exchange, daemon.exchange, daemon.state, now
    )
    send_messages(daemon, outbound)


def send_origins(daemon: "daemon_module.Daemon", now: float) -> None:
    """Sends the origins of streams that other routers are to know."""
    outbound = origin_exchange_module.build_due_messages(
        daemon.origin_exchange, daemon.exchange, daemon.state, now
    )
    send_messages(daemon, outbound)


def send_messages(
    daemon: "daemon_module.Daemon",
    outbound: list[exchange_module.OutboundMessage],
) -> None:
    """Sends messages to other routers."""
    for one in outbound:
        daemon.send_message(one.receivers, one.message)


def _log_backlog(daemon: "daemon_module.Daemon", now: float) -> None:
    """Logs the backlogs of waiting requests, if any.

    The log interval is no timer of its own, so an idle process doesn't wake up
    for it.
    """
    if now < daemon.next_backlog_log_at:
        return
    daemon.next_backlog_log_at = now + backlog.LOG_INTERVAL
    backlogs = backlog.list_backlogs(daemon.state, now)
    if backlogs:
        totals = daemon.exchange.totals
        observation.write_record(
            observation.Level.INFO,
            "teams.waiting",
            teams=[dataclasses.asdict(one) for one in backlogs],
            spreads=[
                dataclasses.asdict(one)
                for one in backlog.list_spreads(daemon.state, now)
            ],
            behind=round(
                exchange_module.find_lateness(daemon.exchange, now), 3
            ),
            late=round(overload_module.take_max_late(daemon.state.overload), 3),
            shed=daemon.servers[0].shed,
            heard=_name_scopes(totals_module.compute_ages(totals, now)),
            accounts=_name_scopes(
                totals_module.compute_account_ages(totals, now)
            ),
        )


def _name_scopes(ages: dict[messages.LoadScope, float]) -> dict[str, float]:
    return {scope.name.lower(): age for scope, age in ages.items()}


def _drop_missing_upstreams(daemon: "daemon_module.Daemon", now: float) -> None:
    gone = upstreams_module.drop_missing(daemon.state.table, now)
    if gone:
        observation.write_record(
            observation.Level.INFO,
            "upstreams.changed",
            gone=gone,
            new=[],
            restarted=[],
        )
        relay.withdraw_unsent(daemon.proxy)


def _record_lateness(daemon: "daemon_module.Daemon", now: float) -> None:
    overload = daemon.state.overload
    unread_demand.record_counts(
        daemon.state.unread_demand,
        now,
        sum(server.shed for server in daemon.servers),
        daemon.state.last_number,
    )
    was_overloaded = overload_module.is_overloaded(overload, now)
    overload_module.record_lateness(overload, now, daemon.ticker.late)
    if overload_module.is_overloaded(overload, now) and not was_overloaded:
        observation.write_record(
            observation.Level.WARNING,
            "process.overloaded",
            behind=round(
                exchange_module.find_lateness(daemon.exchange, now), 3
            ),
            late=round(overload.lateness, 3),
            in_progress=len(daemon.state.requests),
        )
