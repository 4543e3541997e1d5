"""Plays of a server whose process stops while callers act at random.

A play uses the real server and loop over sockets of this machine, on a clock
of its own. Between two passes of the loop callers connect, send requests whole
or in parts, read and leave, upstreams answer, time passes and limits change.
"""

import contextlib
import os
import random
import types

from circuits.core import pollers, utils
import h11

from sycamorefall import node as node_module
from sycamorefall import transport
from sycamorefall.direct import core, daemon
from sycamorefall.direct.tests import fakes
from sycamorefall.transport.tests import test_server

GET = test_server.GET % b"x"

MAX_CALLERS = 40
"""Most callers of a play."""

GRACE = 1000.0
"""Seconds until a stopping process is killed, longer than any play: the plays
ask what the process does on its own."""

MAX_STOP_PASSES = 2000
"""Passes within which a process must have ended."""

TIMES = (0.001, 0.01, 0.05, 0.05, 0.3, 0.8, 1.0, 4.0, 8.0)
"""Seconds that pass at once; above 0.1 s the VM was frozen or overloaded."""

IDLE_LIMITS = (0.5, 1.0, 4.0, 5.0, 8.0, 60.0)


class Caller:
    """A caller that has at most one request in progress.

    Attributes:
        sock: Its socket.
        unsent: Bytes of its request that it has not sent.
        owed: Whether it sent a request, or a part of one, that is unanswered.
        ended: Whether the server closed the connection.
        told: Whether a response announced the close.
        left: Whether it left.
        sent_at: Time at which its request was begun.
    """

    def __init__(self, site):
        self.sock = site.connect()
        self.parser = h11.Connection(h11.CLIENT)
        self.unsent = b""
        self.owed = False
        self.ended = False
        self.told = False
        self.left = False
        self.sent_at = 0.0

    def may_begin(self):
        return not (self.owed or self.ended or self.told or self.left)

    def send(self, now, size=None):
        """Sends a new request, or more of the one that it began.

        Args:
            now: Time of the play.
            size: Number of bytes; None for all that is left.
        """
        self.read()
        if self.ended or self.left:
            return
        if self.may_begin():
            host = [("Host", "a")]
            head = self.parser.send(
                h11.Request(method="GET", target="/x", headers=host)
            )
            self.unsent = head + self.parser.send(h11.EndOfMessage())
            self.sent_at = now
        if self.unsent:
            sent, self.unsent = (
                self.unsent[:size],
                self.unsent[size:] if (size) else b"",
            )
            with contextlib.suppress(OSError):
                self.sock.sendall(sent)
            self.owed = True

    def read(self):
        """Reads what has arrived, and notes answers and the end."""
        while not (self.ended or self.left):
            try:
                data = self.sock.recv(1 << 16)
            except BlockingIOError:
                return
            except ConnectionResetError:
                data = b""
            if data:
                self.parser.receive_data(data)
                self._note_answers()
            else:
                self.ended = True

    def _note_answers(self):
        while True:
            event = self.parser.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if isinstance(event, h11.EndOfMessage):
                self.owed = False
                self.unsent = b""
                if self.parser.their_state is h11.MUST_CLOSE:
                    self.told = True
                    return
                self.parser.start_next_cycle()

    def leave(self):
        self.left = True
        self.sock.close()


class Site(test_server.Site):
    """A site whose calls are answered by the play."""

    def handle_call(self, call):
        self.calls.append(call)


def create_direct_stop(site):
    """Stops as a router that sends directly; returns its two steps."""
    state = fakes.create_state(grace=GRACE)
    router = types.SimpleNamespace(
        state=state,
        servers=[site.server],
        ticker=types.SimpleNamespace(late=0.0),
        loop=site.loop,
        next_stop_check_at=float("inf"),
    )

    def begin():
        core.begin_stop(state, site.now, site.now)
        site.server.announce_stop()
        router.next_stop_check_at = site.now

    def check(now):
        if now >= router.next_stop_check_at:
            daemon._continue_stop(router, now)

    return begin, check, lambda: router.next_stop_check_at


def create_node_stop(site):
    """Stops as a router that uses sidecars; returns its two steps."""
    node = types.SimpleNamespace(
        core=types.SimpleNamespace(
            is_idle=lambda: all(call.ended for call in site.calls)
        ),
        server=site.server,
        operators=None,
        loop=site.loop,
        stopping=False,
        next_stop_check_at=float("inf"),
        exit_at=None,
    )

    def begin():
        node.stopping = True
        node_module._stop_servers(node)
        node.next_stop_check_at = site.now

    def check(now):
        if node.stopping:
            node_module._check_stop(node, now)

    return begin, check, lambda: node.next_stop_check_at


class Play:
    """One draw: callers act at random until the process has ended.

    Attributes:
        site: The process's server and loop.
        callers: All callers.
        owed_closed: What was seen of each caller that lost its request.
    """

    def __init__(self, seed, create_stop, limits_change=True):
        self.random = random.Random(seed)
        choose = self.random.choice
        self.site = Site(
            max_connections=choose((1, 2, 4, 16, 100)),
            idle_timeout=choose(IDLE_LIMITS),
            header_timeout=choose((1.0, 4.0, 20.0)),
        )
        self.site.run_until(lambda: self.site.server.port)
        acceptor = self.site.server.acceptor
        acceptor.max_excess = choose((0, 1, 2, 16))
        acceptor.fresh_time = choose((0.0, 0.25))
        self.callers = []
        self.limits_change = limits_change
        self.begin_stop, check_stop, find_check = create_stop(self.site)
        server = self.site.server

        def run_timers(now):
            server.expire(now)
            check_stop(now)

        transport.Ticker(
            lambda: min(server.find_next_due(), find_check()),
            run_timers,
            lambda: self.site.now,
        ).register(self.site.loop)

    def run(self):
        """Plays to the end of the process.

        Returns:
            The callers whose connection was closed although they were owed an
            answer.
        """
        for _ in range(self.random.randint(5, 60)):
            self._act()
        self.begin_stop()
        for _ in range(self.random.randint(0, 120)):
            if not self.site.loop.running:
                break
            self._act()
        self._run_to_end()
        return [one for one in self.callers if one.owed and not one.left]

    def _run_to_end(self):
        loop = self.site.loop
        for _ in range(MAX_STOP_PASSES):
            if not (loop.running or len(loop._queue)):
                break
            for caller in self.callers:
                caller.read()
            self._answer_all()
            self.site.now += 0.05
            loop.tick(0.0)
        assert not loop.running
        for _ in range(3):
            loop.tick(0.0)
        self._end_process()
        for caller in self.callers:
            caller.read()
            caller.sock.close()

    def _answer_all(self):
        for call in self.site.calls:
            if not call.response_started:
                call.respond(200, b"done")
            call.end()

    def _end_process(self):
        """Closes what the kernel closes when the process has ended."""
        for sock in list(self.site.server._connections):
            sock.close()
        if self.site.server.listening:
            self.site.server.server._sock.close()
        poller = utils.findcmp(self.site.loop, pollers.BasePoller)
        poller._poller.close()
        os.close(poller._ctrl_recv)
        os.close(poller._ctrl_send)

    def _act(self):
        acts = (
            (self._connect, 4),
            (self._send, 8),
            (self._send_part, 2),
            (self._read, 8),
            (self._leave, 1),
            (self._answer, 8),
            (self._run_pass, 10),
            (self._pass_time, 4),
            (self._change_limits, 1),
            (self._evict, 1),
        )
        steps, weights = zip(*acts, strict=True)
        self.random.choices(steps, weights)[0]()

    def _choose(self, may):
        known = [one for one in self.callers if may(one)]
        return self.random.choice(known) if known else None

    def _connect(self):
        if len(self.callers) < MAX_CALLERS and self.site.server.listening:
            self.callers.append(Caller(self.site))
            if self.random.random() < 0.6:
                self.callers[-1].send(self.site.now)

    def _send(self):
        chosen = self._choose(lambda one: one.may_begin() or one.unsent)
        if chosen:
            chosen.send(self.site.now)

    def _send_part(self):
        chosen = self._choose(lambda one: one.may_begin() or one.unsent)
        if chosen:
            chosen.send(self.site.now, self.random.randint(1, 20))

    def _read(self):
        for caller in self.callers:
            if self.random.random() < 0.5:
                caller.read()

    def _leave(self):
        chosen = self._choose(lambda one: not one.left)
        if chosen and self.random.random() < 0.3:
            chosen.leave()

    def _answer(self):
        known = [one for one in self.site.calls if not one.ended]
        if not known:
            return
        call = self.random.choice(known)
        if call.response_started:
            call.write(b"piece")
            if self.random.random() < 0.5:
                call.end()
        elif self.random.random() < 0.5:
            call.respond(200, b"done")
        else:
            call.begin(200)

    def _run_pass(self):
        self.site.loop.tick(0.0)

    def _pass_time(self):
        self.site.now += self.random.choice(TIMES)

    def _change_limits(self):
        server, choose = self.site.server, self.random.choice
        server.acceptor.max_connections = choose((1, 2, 4, 16, 100))
        if self.limits_change:
            server._idle_timeouts.limit = choose(IDLE_LIMITS)

    def _evict(self):
        self.site.server.close_one_idle()
