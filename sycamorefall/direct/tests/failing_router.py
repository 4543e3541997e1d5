"""A router whose parts fail as a test says."""

import math
import types

from returns import result

from sycamorefall import transport
from sycamorefall.direct import dialects, relay
from sycamorefall.direct.tests import fakes


class Call:
    """A caller's request that records how it ended.

    Attributes:
        ends: Ends that its caller has seen.
        raises: Exception that its next response raises.
    """

    def __init__(self, path):
        self.method, self.target, self.path = "POST", path, path
        self.headers, self.body = {}, b""
        self.arrived_after = math.inf
        self.response_started = False
        self.ends = []
        self.raises = None

    def fail(self, kind, message="", ran=None, retry_after=None):
        if self.raises is not None:
            raised, self.raises = self.raises, None
            raise raised
        self.ends.append(("fail", kind, ran, retry_after))

    def abort(self):
        self.ends.append(("abort", None, None, None))


class Exchange:
    def __init__(self, listener):
        self.listener = listener
        self.sent_any = True
        self.ended_at_close = False


class Router:
    """A router whose HTTP client fails as a test says.

    Attributes:
        now: Time of its clock.
        calls: All calls, by the order of their arrival.
        sent: Exchanges of the requests that were sent, by target.
        plan: What `send` does for a target: `raise`, `raise_later` (by the
            listener), `unopened` or nothing.
        error: Exception that `raise` raises.
    """

    def __init__(self, monkeypatch, listing=fakes.STANDARD_LISTING):
        self.now = 0.0
        self.calls, self.sent, self.aborted = [], {}, []
        self.plan, self.error = {}, None
        monkeypatch.setattr(transport, "read_clock", lambda: self.now)
        self.state = fakes.create_state(listing=listing)
        dialect = dialects.Dialect(
            read_request=lambda call: result.Success(
                fakes.create_request(call.path.split("/")[1])
            ),
            read_request_id=lambda _: "1",
            write_headers=lambda *_: (),
            is_matching_response=lambda *_: True,
            read_response_head=lambda *_: self.read_head(),
        )
        self.proxy = relay.Proxy(self.state, self, dialect)

    def read_head(self):
        raise self.error

    def send(self, request, listener):
        planned = self.plan.get(request.path)
        if planned == "raise":
            raise self.error
        exchange = Exchange(listener)
        if planned == "unopened":
            exchange.sent_any = False
        self.sent[request.path] = exchange
        return exchange

    def abort(self, exchange):
        self.aborted.append(exchange)

    def check_reachable(self, address, on_result):
        """Finds nothing out."""

    def handle_calls(self, routes):
        for number, route in enumerate(routes):
            call = Call(f"/{route}/{number}")
            self.calls.append(call)
            relay.handle_call(self.proxy, call)

    def report_unopened(self):
        for path, exchange in list(self.sent.items()):
            if self.plan.get(path) == "unopened":
                exchange.listener.on_failure(transport.SendStage.NOT_OPENED)
                del self.sent[path]

    def count_load(self):
        by_name = self.state.table.by_name.values()
        return sum(one.own_load.running for one in by_name)

    def assert_consistent(self):
        state = self.state
        assert self.proxy.in_flight.keys() == state.requests.keys()
        assert state.running == self.count_load()
        attempts = sum(
            one.attempt is not None for one in state.requests.values()
        )
        assert state.running == attempts


class Daemon(types.SimpleNamespace):
    """What the timers of a router need, with steps that a test breaks."""


def create_daemon(router, breaks):
    calls = []

    def make(name, value=None):
        def step(*_):
            calls.append(name)
            if name in breaks:
                raise OSError(24, name) if value is None else value

        return step

    daemon = Daemon(
        state=router.state,
        proxy=router.proxy,
        client=types.SimpleNamespace(expire=make("client")),
        servers=[
            types.SimpleNamespace(expire=make("callers")),
            types.SimpleNamespace(expire=make("operators")),
        ],
        replicator=types.SimpleNamespace(run=make("replicator")),
        log=types.SimpleNamespace(flush=make("log")),
        ticker=types.SimpleNamespace(input_read_until=float("inf")),
        next_division_at=float("inf"),
        next_backlog_log_at=float("inf"),
        next_stop_check_at=0.0,
        timers_resume_at=float("-inf"),
    )
    return daemon, calls
