"""Process of a router that sends directly to upstreams."""

__all__ = ["Daemon", "run_direct_router"]

from collections.abc import Callable, Iterable
import dataclasses
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
from sycamorefall.direct import catalog as catalog_module
from sycamorefall.direct import (
    core,
    crashes,
    descriptors,
    dialects,
    metrics,
    origin_queries,
    readers,
    relay,
    stopping,
    timers,
)
from sycamorefall.direct import crash_exchange as crash_exchange_module
from sycamorefall.direct import exchange as exchange_module
from sycamorefall.direct import origin_exchange as origin_exchange_module
from sycamorefall.direct import overload as overload_module
from sycamorefall.direct import replicator as replicator_module
from sycamorefall.direct import state as state_module
from sycamorefall.direct import upstreams as upstreams_module
from sycamorefall.observation import metrics as metrics_module

CONNECT_TIMEOUT = 0.4
"""Seconds until connecting to an upstream or the platform times out: a hundred
times the round-trip time, and half of the usual target latency."""

STOP_CHECK_INTERVAL = 0.05
"""Seconds between two checks whether a stopping process may exit."""


@dataclasses.dataclass(slots=True)
class Daemon:
    """A router process: its decision logic and its I/O.

    Attributes:
        config: Settings of the process.
        state: State of the decision logic.
        loop: Event loop and root component.
        client: HTTP client for upstreams and the platform.
        proxy: Forwards requests and responses.
        log: Log writer.
        servers: HTTP servers: the first for callers, the second, if configured,
            for the balancer and operators.
        control: Control connections to the other routers.
        exchange: Exchange of load reports with the other routers.
        incarnation: Number that distinguishes this process from earlier ones.
        ticker: Runs the timers.
        replicator: Replicates the records that the platform publishes.
        next_stop_check_at: Time of the next check whether a stopping process
            may exit; infinity if it isn't stopping.
        next_backlog_log_at: Time from which on waiting requests are logged
            again.
        crash_exchange: Exchange of crash reports with the other routers.
        origin_exchange: Exchange of streams' origins with the other routers.
        unknown_domains: Names in the platform's evacuations that are not those
            of failure domains.
        division: Highest numbers of connections by use.
        next_division_at: Time from which on they are computed again.
        timers_resume_at: Time before which no timer runs, after a fault.
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
    next_stop_check_at: float = float("inf")
    next_backlog_log_at: float = 0.0
    crash_exchange: crash_exchange_module.CrashExchange = dataclasses.field(
        default_factory=crash_exchange_module.CrashExchange
    )
    origin_exchange: origin_exchange_module.OriginExchange = dataclasses.field(
        default_factory=origin_exchange_module.OriginExchange
    )
    unknown_domains: set[str] = dataclasses.field(default_factory=set)
    division: descriptors.Division | None = None
    next_division_at: float = 0.0
    timers_resume_at: float = float("-inf")

    def handle_catalog(self, new: catalog_module.Catalog) -> None:
        """Applies a configuration, and logs it if it is newer."""
        now = transport.read_clock()
        previous = self.state.catalog
        pending = core.apply_catalog(self.state, now, new)
        if self.state.catalog is not previous:
            observation.write_record(
                observation.Level.INFO,
                "configuration.in_force",
                version=new.version,
                before=previous.version if previous else None,
            )
        relay.perform_effects(self.proxy, pending)

    def handle_listing(
        self, listing: list[upstreams_module.UpstreamEntry]
    ) -> None:
        """Applies a listing of upstreams, and logs what changed."""
        now = transport.read_clock()
        by_name = self.state.table.by_name
        before = {name: one.listed.start_time for name, one in by_name.items()}
        gone = core.apply_listing(self.state, now, listing)
        new = by_name.keys() - before.keys()
        exchange_module.apply_totals_to_listing(self.exchange, self.state, new)
        restarted = [
            name
            for name, one in by_name.items()
            if before.get(name, one.listed.start_time) != one.listed.start_time
        ]
        if gone or new or restarted:
            observation.write_record(
                observation.Level.INFO,
                "upstreams.changed",
                gone=gone,
                new=sorted(new),
                restarted=restarted,
            )
        relay.withdraw_unsent(self.proxy)

    def handle_evacuated_domains(self, domains: set[str]) -> None:
        """Applies the evacuated failure domains, and logs what changed.

        While the platform's records settle after a restoration, domains stay
        evacuated.
        """
        known = self.config.vm.list_failure_domains()
        unknown = {name for name in domains if known and name not in known}
        if unknown - self.unknown_domains:
            observation.write_record(
                observation.Level.WARNING,
                "evacuation.unknown_domains",
                domains=sorted(unknown),
            )
        self.unknown_domains = unknown
        evacuated = domains - unknown
        before = self.state.evacuated_domains
        now = transport.read_clock()
        if now < self.state.settles_at:
            evacuated |= before
        if evacuated == before:
            return
        pending = core.apply_evacuated_domains(self.state, now, evacuated)
        observation.write_record(
            observation.Level.INFO,
            "domains.evacuated",
            domains=sorted(evacuated),
            before=sorted(before),
        )
        relay.perform_effects(self.proxy, pending)
        relay.withdraw_unsent(self.proxy)

    def handle_proof(self, proven_at: float) -> None:
        """Records that configuration and listing were current at a time."""
        core.record_proof(self.state, transport.read_clock(), proven_at)

    def handle_settling(self, until: float, withdraw: bool) -> None:
        """Keeps in force what a restored platform may have lost."""
        core.begin_settling(self.state, until, withdraw)

    def send_message(
        self, receivers: Iterable[str], message: messages.Message
    ) -> None:
        """Sends a control message to other routers."""
        current = self.state.catalog
        version = current.version if current else 0
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
        config: Settings of the process.
        dialect: Translation between HTTP messages and the router's types.
        create_source: Creates the record source of a daemon, which reads the
            platform.
        reload: Called on SIGHUP.

    Raises:
        errors.AddressInUse: A listening address can't be bound.
    """
    daemon = _create_daemon(config, dialect, reload)
    daemon.replicator.source = create_source(daemon)
    observation.write_record(
        observation.Level.INFO,
        "process.started",
        vm=config.vm.name,
        failure_domain=config.vm.failure_domain,
    )
    daemon.loop.run()
    if daemon.state.stop.since is None:
        observation.write_record(
            observation.Level.ERROR,
            "process.ended_unasked",
            in_progress=len(daemon.state.requests),
        )
    daemon.control.close()
    observation.write_record(
        observation.Level.INFO, "process.stopped", vm=config.vm.name
    )


def _create_daemon(
    config: settings.DirectSettings,
    dialect: dialects.Dialect,
    reload: Callable[[], None],
) -> Daemon:
    log = observation.open_log(config.log)
    loop = transport.create_loop(
        lambda sent_after: _begin_stop(daemon, sent_after),
        lambda trace: _record_fault(proxy, trace),
        on_reload=reload,
    )
    transport.install_signal_handlers(loop)
    poller = next(
        part for part in loop.components if isinstance(part, pollers.BasePoller)
    )
    client = transport.HttpClient(
        poller, transport.read_clock, CONNECT_TIMEOUT
    ).register(loop)
    incarnation = time.time_ns() // 1000
    state = state_module.create_state(
        config.vm.failure_domain,
        config.bounds,
        seed=incarnation,
        now=transport.read_clock(),
    )
    load_exchange = exchange_module.Exchange(
        config.vm.name,
        str(config.listen.control),
        config.peers.list_addresses(),
        round(10 * config.vm.cores * config.vm.cpu_share),
        transport.read_clock(),
    )
    control = transport.ControlLinks(
        str(config.listen.control),
        lambda name: exchange_module.find_address(load_exchange, name),
        lambda envelope: _handle_envelope(daemon, envelope),
        authentication.create_authenticator(config.vm.name, config.security),
        lambda envelope: exchange_module.record_unreadable_sender(
            load_exchange, transport.read_clock(), envelope
        ),
        lambda name: exchange_module.classify_domain(
            load_exchange, state, name
        ),
        lambda: exchange_module.is_behind(
            load_exchange, transport.read_clock()
        ),
    ).register(loop)
    control.attach(poller)
    proxy = relay.Proxy(state, client, dialect)
    proxy.get_unread_since = lambda: poller.unread_since
    memory = transport.HeldMemory()
    servers = [
        transport.HttpServer(
            config.listen.data,
            config.limits,
            lambda call: relay.handle_call(proxy, call),
            on_dropped=lambda call: relay.record_dropped_call(proxy, call),
            shedding=transport.Shedding(
                overload_module.MAX_PASS_TIME, core.OTHER_ROUTER_RETRY_AFTER
            ),
            memory=memory,
        ).register(loop)
    ]
    if config.listen.operators is not None:
        servers.append(
            transport.HttpServer(
                config.listen.operators,
                config.limits,
                lambda call: _handle_operator_call(daemon, call),
                channel="operators",
                memory=memory,
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
        load_exchange,
        incarnation,
    )
    proxy.on_stream_begun = lambda: timers.send_origins(
        daemon, transport.read_clock()
    )
    daemon.replicator = replicator_module.create_replicator(
        readers.ReaderSelection(config.vm.name, config.vm.failure_domain),
        incarnation,
        load_exchange.control,
        load_exchange.seeds,
        lambda: exchange_module.rank_routers(
            load_exchange, state, transport.read_clock()
        ),
        daemon.send_message,
        daemon.handle_proof,
        daemon.handle_settling,
    )
    servers[0].get_unread_since = lambda: poller.unread_since
    servers[0].closings.read_request_id = dialect.read_request_id
    descriptors.apply_limits(daemon)
    servers[0].acceptor.on_exhausted = lambda: _free_descriptor(daemon)
    client.free_descriptor = lambda: _free_descriptor(daemon)
    daemon.ticker = transport.Ticker(
        lambda: timers.find_next_due(daemon),
        lambda now: timers.run(daemon, now, _continue_stop),
    ).register(loop)
    return daemon


def _free_descriptor(daemon: Daemon) -> bool:
    """Closes idle connections, since the kernel has no descriptor left.

    Returns:
        Whether there was one to close.
    """
    descriptors.apply_limits(daemon)
    freed = daemon.client.close_one_idle(), daemon.servers[0].close_one_idle()
    observation.write_rate_limited(
        observation.Level.WARNING,
        "descriptors.exhausted",
        callers=daemon.servers[0].open_count,
        upstreams=daemon.client.open_count,
        peers=daemon.control.link_count,
        in_progress=len(daemon.state.requests),
    )
    return any(freed)


def _handle_envelope(daemon: Daemon, envelope: messages.Envelope) -> None:
    now, message = transport.read_clock(), envelope.message
    exchange = daemon.exchange
    match message:
        case messages.RouterLoad():
            referral = exchange_module.handle_load(
                exchange, daemon.state, now, envelope
            )
            if referral is not None:
                daemon.send_message(referral.receivers, referral.message)
        case messages.KnownRouters():
            exchange_module.record_known_routers(exchange, now, message.routers)
        case messages.CrashReports():
            added = crash_exchange_module.handle_reports(
                daemon.crash_exchange, exchange, daemon.state, now, envelope
            )
            pending = crashes.report_quarantined(daemon.state, now, added)
            relay.perform_effects(daemon.proxy, pending)
        case (
            messages.StreamOrigins()
            | messages.OriginQuery()
            | messages.OriginAnswer()
        ):
            _handle_origin_message(daemon, now, envelope)
        case messages.Subscribe():
            exchange_module.record_address(
                exchange, now, envelope.sender, message.control
            )
            daemon.replicator.receive(envelope)
        case _:
            daemon.replicator.receive(envelope)


def _handle_origin_message(
    daemon: Daemon, now: float, envelope: messages.Envelope
) -> None:
    """Handles a message about the origins of streams."""
    state, known = daemon.state, []
    try:
        match envelope.message:
            case messages.StreamOrigins():
                known = origin_exchange_module.handle_origins(
                    daemon.origin_exchange,
                    daemon.exchange,
                    state,
                    now,
                    envelope,
                )
            case messages.OriginQuery():
                outbound = origin_queries.handle_query(
                    daemon.exchange, state, now, envelope
                )
                timers.send_messages(daemon, outbound)
            case messages.OriginAnswer():
                known = origin_queries.handle_answer(state, now, envelope)
    except errors.MessageRefused as error:
        observation.write_rate_limited(
            observation.Level.WARNING,
            "origins.refused",
            sender=envelope.sender,
            reason=str(error),
        )
    for key in known:
        pending = core.end_lookup(state, now, key)
        relay.perform_effects(daemon.proxy, pending)


def _record_fault(proxy: relay.Proxy, trace: str) -> None:
    proxy.faulted = True
    observation.write_record(
        observation.Level.ERROR, "process.fault", traceback=trace
    )


def _handle_operator_call(daemon: Daemon, call: transport.IncomingCall) -> None:
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


def _begin_stop(daemon: Daemon, sent_after: float) -> None:
    """Begins a graceful stop.

    Requests in progress are finished, and callers are sent to other routers.

    Args:
        daemon: The process.
        sent_after: Time after which the signal came.
    """
    if daemon.state.stop.since is not None:
        return
    now = transport.read_clock()
    observation.write_record(
        observation.Level.INFO,
        "process.stopping",
        in_progress=len(daemon.state.requests),
        sent_within=round(now - sent_after, 3),
    )
    core.begin_stop(daemon.state, now, sent_after)
    daemon.servers[0].announce_stop()
    daemon.next_stop_check_at = now


def _answer_all(daemon: Daemon, now: float) -> None:
    """Answers each request before the kill, and logs what is still open."""
    open_requests = daemon.state.requests.values()
    if not open_requests:
        return
    observation.write_rate_limited(
        observation.Level.WARNING,
        "process.kill_expected",
        waiting=sum(one.attempt is None for one in open_requests),
        unanswered=sum(not one.forwarding_started for one in open_requests),
        begun=sum(one.forwarding_started for one in open_requests),
        unsent=sum(
            one.call.unsent_bytes for one in daemon.proxy.in_flight.values()
        ),
    )
    relay.perform_effects(daemon.proxy, core.answer_all(daemon.state, now))


def _continue_stop(daemon: Daemon, now: float) -> None:
    """Ends listening, and then the process, as soon as a stop allows it.

    Listening ends once callers use other routers, and the process ends once all
    requests are answered. Until then the balancer may still send callers here
    and callers may reuse kept connections; if these were closed, the callers'
    requests would get no answer.
    """
    daemon.next_stop_check_at = now + STOP_CHECK_INTERVAL
    data, stop = daemon.servers[0], daemon.state.stop
    if stopping.must_answer(stop, now):
        _answer_all(daemon, now)
    if not data.listening_ends:
        if not stopping.may_end_listening(stop, now, data.last_request_at):
            return
        # A late event loop has not read the requests that arrived meanwhile,
        # and would conclude that no more callers come.
        data.read_pending_input()
        if not stopping.may_end_listening(stop, now, data.last_request_at):
            return
        observation.write_record(
            observation.Level.INFO,
            "process.closing",
            in_progress=len(daemon.state.requests),
            late=round(daemon.ticker.late, 3),
        )
        # A connection that becomes idle later stays open until the process
        # ends, as its caller may not have been told that it closes.
        for server in daemon.servers:
            server.begin_stop()
    for server in daemon.servers:
        server.end_listening(stopping.may_reset_callers(stop, now))
    if any(server.listening for server in daemon.servers):
        return
    quiet = all(server.is_drained() for server in daemon.servers)
    # The loop reads input once more after it was told to stop, so it may be
    # told so only when no connection can bring a request any more.
    if stopping.may_exit(stop, now, quiet) and all(
        server.end_input() for server in daemon.servers
    ):
        daemon.loop.stop()
