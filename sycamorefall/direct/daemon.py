"""The program of a router that sends directly to upstreams."""

__all__ = ["Daemon", "run_direct_router"]

from collections.abc import Callable, Iterable
import dataclasses
import signal
import time

from circuits.core import pollers

from sycamorefall import (
    authentication,
    errors,
    messages,
    observation,
    pages,
    settings,
    transport,
)
from sycamorefall.direct import (
    backlog,
    core,
    crashes,
    dialects,
    metrics,
    readers,
    relay,
    stopping,
)
from sycamorefall.direct import catalog as catalog_module
from sycamorefall.direct import crash_exchange as crash_exchange_module
from sycamorefall.direct import exchange as exchange_module
from sycamorefall.direct import overload as overload_module
from sycamorefall.direct import replicator as replicator_module
from sycamorefall.direct import state as state_module
from sycamorefall.direct import totals as totals_module
from sycamorefall.direct import upstreams as upstreams_module
from sycamorefall.observation import metrics as metrics_module

CONNECT_TIMEOUT = 0.4
"""Seconds until a connection to an upstream or the platform is given up: a
hundred times the way there and back, and half of the usual target latency."""

STOP_CHECK = 0.05
"""Seconds between two looks of a stopping process at whether it is idle."""


@dataclasses.dataclass(slots=True)
class Daemon:
    """A process: its decisions and its I/O.

    Attributes:
        config: Its settings.
        state: The decisions' state.
        loop: The root component.
        client: Sends requests.
        proxy: Requests in progress.
        log: Writes the log.
        servers: For callers, and for the balancer.
        control: Links to the other routers.
        exchange: What the routers tell each other.
        crash_exchange: Crash evidence to be sent to them.
        incarnation: Number of this process.
        ticker: Runs the timers.
        replicator: Keeps what the platform publishes up to date.
        stop_check: When a stop in progress is looked at next.
        backlog_at: When requests that wait are logged next.
    """

    config: settings.DirectSettings
    state: state_module.DirectState
    loop: transport.Loop
    client: transport.HttpClient
    proxy: relay.Proxy
    log: observation.LogWriter
    servers: list[transport.HttpServer]
    control: transport.ControlLinks
    exchange: exchange_module.Exchange
    incarnation: int
    ticker: transport.Ticker | None = None
    replicator: replicator_module.Replicator | None = None
    stop_check: float = float("inf")
    backlog_at: float = 0.0
    crash_exchange: crash_exchange_module.CrashExchange = dataclasses.field(
        default_factory=crash_exchange_module.CrashExchange
    )

    def handle_catalog(self, new: catalog_module.Catalog) -> None:
        """Takes a configuration that was read."""
        now = transport.read_clock()
        known = self.state.catalog
        done = core.apply_catalog(self.state, now, new)
        if self.state.catalog is not known:
            observation.write_record(
                observation.Level.INFO,
                "configuration.in_force",
                version=new.version,
                before=known.version if known else None,
            )
        relay.perform_effects(self.proxy, done)

    def handle_listing(
        self, listing: list[upstreams_module.UpstreamEntry]
    ) -> None:
        """Takes a listing of upstreams that was read."""
        now = transport.read_clock()
        by_name = self.state.table.by_name
        before = {name: one.listed.born for name, one in by_name.items()}
        gone = core.apply_listing(self.state, now, listing)
        new = by_name.keys() - before.keys()
        exchange_module.apply_totals_to_listing(self.exchange, self.state, new)
        restarted = [
            name
            for name, one in by_name.items()
            if before.get(name, one.listed.born) != one.listed.born
        ]
        if gone or new or restarted:
            observation.write_record(
                observation.Level.INFO,
                "upstreams.changed",
                gone=gone,
                new=sorted(new),
                restarted=restarted,
            )

    def handle_proof(self, proven_at: float) -> None:
        """Takes proof that what is in force was the newest at a time."""
        core.record_proof(self.state, transport.read_clock(), proven_at)

    def tell(self, receivers: Iterable[str], message: messages.Message) -> None:
        """Sends a control message to other routers."""
        known = self.state.catalog
        version = known.version if known else 0
        envelope = messages.Envelope(
            self.config.vm.name, self.incarnation, version, message
        )
        self.control.send_all(receivers, envelope)


def run_direct_router(
    config: settings.DirectSettings,
    dialect: dialects.Dialect,
    create_source: Callable[[Daemon], replicator_module.RecordSource],
    reload: Callable[[], None],
) -> None:
    """Runs a router until it is told to stop.

    Args:
        config: Its settings.
        dialect: How callers and upstreams put things in HTTP.
        create_source: Creates what reads the platform for a daemon.
        reload: Called on SIGHUP.

    Raises:
        errors.AddressInUse: A listening address can't be bound.
    """
    daemon = _create_daemon(config, dialect)
    daemon.replicator.source = create_source(daemon)
    signal.signal(signal.SIGHUP, lambda *_: reload())
    observation.write_record(
        observation.Level.INFO,
        "process.started",
        vm=config.vm.name,
        failure_domain=config.vm.failure_domain,
    )
    daemon.loop.run()
    daemon.control.close()
    observation.write_record(
        observation.Level.INFO, "process.stopped", vm=config.vm.name
    )


def _create_daemon(
    config: settings.DirectSettings, dialect: dialects.Dialect
) -> Daemon:
    log = observation.open_log(config.log)
    loop = transport.create_loop(lambda: _begin_stop(daemon), _report_fault)
    poller = next(
        part for part in loop.components if isinstance(part, pollers.BasePoller)
    )
    client = transport.HttpClient(
        poller, transport.read_clock, CONNECT_TIMEOUT
    ).register(loop)
    incarnation = time.time_ns() // 1000
    state = state_module.create_state(
        config.vm.failure_domain, config.bounds, seed=incarnation
    )
    told = exchange_module.Exchange(
        config.vm.name,
        str(config.listen.control),
        config.peers.list_addresses(),
        round(10 * config.vm.cores * config.vm.cpu_share),
        transport.read_clock(),
    )
    control = transport.ControlLinks(
        str(config.listen.control),
        lambda name: exchange_module.find_address(told, name),
        lambda envelope: _receive(daemon, envelope),
        authentication.create_authenticator(config.vm.name, config.security),
        lambda envelope: exchange_module.record_unreadable_sender(
            told, transport.read_clock(), envelope
        ),
        lambda name: exchange_module.classify_domain(told, state, name),
    ).register(loop)
    control.attach(poller)
    proxy = relay.Proxy(state, client, dialect)
    servers = [
        transport.HttpServer(
            config.listen.data,
            config.limits,
            lambda call: relay.handle_call(proxy, call),
            on_dropped=lambda call: relay.record_dropped_call(proxy, call),
            shedding=transport.Shedding(
                overload_module.LONGEST_TURN, core.OTHER_ROUTER_RETRY_AFTER
            ),
        ).register(loop)
    ]
    if config.listen.operators is not None:
        servers.append(
            transport.HttpServer(
                config.listen.operators,
                config.limits,
                lambda call: _answer_operators(daemon, call),
                channel="operators",
            ).register(loop)
        )
    daemon = Daemon(
        config,
        state,
        loop,
        client,
        proxy,
        log,
        servers,
        control,
        told,
        incarnation,
    )
    daemon.replicator = replicator_module.create_replicator(
        readers.ReaderSelection(config.vm.name, config.vm.failure_domain),
        incarnation,
        told.control,
        told.seeds,
        lambda: exchange_module.rank_routers(
            told, state, transport.read_clock()
        ),
        daemon.tell,
        daemon.handle_proof,
    )
    daemon.ticker = transport.Ticker(
        lambda: _find_next_due(daemon), lambda now: _run_timers(daemon, now)
    ).register(loop)
    return daemon


def _receive(daemon: Daemon, envelope: messages.Envelope) -> None:
    now, message = transport.read_clock(), envelope.message
    exchange = daemon.exchange
    match message:
        case messages.RouterLoad():
            referral = exchange_module.handle_load(
                exchange, daemon.state, now, envelope
            )
            if referral is not None:
                daemon.tell(referral.receivers, referral.message)
        case messages.KnownRouters():
            exchange_module.record_known_routers(exchange, now, message.routers)
        case messages.CrashReports():
            added = crash_exchange_module.handle_reports(
                daemon.crash_exchange, exchange, daemon.state, now, envelope
            )
            done = crashes.report_quarantined(daemon.state, now, added)
            relay.perform_effects(daemon.proxy, done)
        case messages.Subscribe():
            exchange_module.record_address(
                exchange, now, envelope.sender, message.control
            )
            daemon.replicator.receive(envelope)
        case _:
            daemon.replicator.receive(envelope)


def _tell_peers(daemon: Daemon, now: float) -> None:
    reports = exchange_module.build_due_messages(
        daemon.exchange, daemon.state, now
    )
    daemon.control.keep_only(exchange_module.list_addresses(daemon.exchange))
    _tell_reports(daemon, reports)


def _tell_crashes(daemon: Daemon, now: float) -> None:
    reports = crash_exchange_module.build_due_messages(
        daemon.crash_exchange, daemon.exchange, daemon.state, now
    )
    _tell_reports(daemon, reports)


def _tell_reports(
    daemon: Daemon, reports: list[exchange_module.OutboundMessage]
) -> None:
    for report in reports:
        daemon.tell(report.receivers, report.message)


def _report_fault(trace: str) -> None:
    observation.write_record(
        observation.Level.ERROR, "process.fault", traceback=trace
    )


def _answer_operators(daemon: Daemon, call: transport.IncomingCall) -> None:
    now = transport.read_clock()
    match call.path:
        case pages.READY_PATH:
            reasons = core.list_unready_reasons(daemon.state, now)
            body = ", ".join(reasons).encode() or b"ready"
            status = 503 if reasons else 200
            call.respond(status, body, (("Content-Type", "text/plain"),))
        case pages.METRICS_PATH:
            listed = metrics.list_metrics(daemon, now)
            text = metrics_module.format_metrics(listed)
            kind = (("Content-Type", metrics_module.CONTENT_TYPE),)
            call.respond(200, text, kind)
        case _:
            call.fail(errors.ErrorKind.UNKNOWN_SERVICE)


def _find_next_due(daemon: Daemon) -> float:
    return min(
        core.find_next_due(daemon.state),
        daemon.client.find_next_due(),
        daemon.replicator.find_next_due(),
        upstreams_module.find_grace_end(daemon.state.table),
        exchange_module.find_next_due(daemon.exchange, daemon.state),
        crash_exchange_module.find_next_due(
            daemon.crash_exchange, daemon.state
        ),
        daemon.stop_check,
        *(server.find_next_due() for server in daemon.servers),
    )


def _run_timers(daemon: Daemon, now: float) -> None:
    _note_lateness(daemon, now)
    daemon.client.expire(now)
    for server in daemon.servers:
        server.expire(now)
    if now >= exchange_module.find_next_due(daemon.exchange, daemon.state):
        _tell_peers(daemon, now)
    if now >= crash_exchange_module.find_next_due(
        daemon.crash_exchange, daemon.state
    ):
        _tell_crashes(daemon, now)
    daemon.replicator.run(now)
    _drop_lapsed(daemon, now)
    daemon.log.flush()
    relay.perform_effects(daemon.proxy, core.run_timers(daemon.state, now))
    if now >= daemon.backlog_at:
        _log_backlog(daemon, now)
    if now >= daemon.stop_check:
        _continue_stop(daemon, now)


def _log_backlog(daemon: Daemon, now: float) -> None:
    """Logs what waits; a process that is idle wakes up for no line."""
    daemon.backlog_at = now + backlog.LOG_INTERVAL
    backlogs = backlog.list_backlogs(daemon.state, now)
    if backlogs:
        ages = totals_module.compute_ages(daemon.exchange.totals, now)
        observation.write_record(
            observation.Level.INFO,
            "teams.waiting",
            teams=[dataclasses.asdict(one) for one in backlogs],
            heard={scope.name.lower(): age for scope, age in ages.items()},
        )


def _drop_lapsed(daemon: Daemon, now: float) -> None:
    gone = upstreams_module.drop_missing(daemon.state.table, now)
    if gone:
        observation.write_record(
            observation.Level.INFO,
            "upstreams.changed",
            gone=gone,
            new=[],
            restarted=[],
        )


def _note_lateness(daemon: Daemon, now: float) -> None:
    overload = daemon.state.overload
    before = overload_module.is_overloaded(overload, now)
    overload_module.record_lateness(overload, now, daemon.ticker.late)
    if overload_module.is_overloaded(overload, now) and not before:
        observation.write_record(
            observation.Level.WARNING,
            "process.overloaded",
            late=round(overload.late, 3),
            in_progress=len(daemon.state.requests),
        )


def _begin_stop(daemon: Daemon) -> None:
    """Begins a graceful stop: what runs is finished, callers are sent away."""
    if daemon.state.stop.since is not None:
        return
    observation.write_record(
        observation.Level.INFO,
        "process.stopping",
        in_progress=len(daemon.state.requests),
    )
    now = transport.read_clock()
    core.begin_stop(daemon.state, now)
    daemon.servers[0].announce_stop()
    daemon.stop_check = now


def _continue_stop(daemon: Daemon, now: float) -> None:
    """Ends the process once callers are elsewhere and all is answered.

    Guards against callers that the balancer still sends here, or that use a
    connection that they kept: closed, their requests would get no answer.
    """
    daemon.stop_check = now + STOP_CHECK
    data, stop = daemon.servers[0], daemon.state.stop
    if data.listening:
        if not stopping.may_end_listening(stop, now, data.asked_at):
            return
        # A late loop has not come to what arrived meanwhile, and would take
        # its own lateness for callers that come no more.
        data.take_arrived()
        if not stopping.may_end_listening(stop, now, data.asked_at):
            return
        observation.write_record(
            observation.Level.INFO,
            "process.closing",
            in_progress=len(daemon.state.requests),
            late=round(daemon.ticker.late, 3),
        )
        # Only once: whoever is on a connection later was not told that it
        # closes, and has it until the process ends.
        for server in daemon.servers:
            server.begin_stop()
            server.end_listening()
    quiet = all(server.is_quiet() for server in daemon.servers)
    if stopping.may_exit(stop, now, quiet):
        daemon.loop.stop()
