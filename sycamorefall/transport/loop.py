"""The event loop of a process: clock, timers and signals."""

__all__ = [
    "Loop",
    "Ticker",
    "create_loop",
    "install_signal_handlers",
    "keep_signals_from_threads",
    "read_clock",
]

from collections.abc import Callable, Iterator
import contextlib
import signal
import sys
import time
import traceback

import circuits
from circuits.core import events, utils

from sycamorefall.transport import poller

Loop = circuits.BaseComponent
"""Root component of a process; all other components are registered below it."""

MAX_UNHANDLED_TIME = 0.1
"""Maximum age in seconds of input that may be unhandled when timers run: a
fifth of the shortest time after which an upstream is given up, and twice what a
pass of the loop takes in a process that isn't overloaded."""

_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
"""Signals that are events of the loop."""

MIN_WAIT = 0.0005
"""Seconds from which on the loop has waited for input. Input that had arrived
before ends the wait at once."""


MAX_WAIT = 0.25
"""Maximum seconds for which the loop waits for input at once. A process can't
tell a wait from standing still, so it knows the time of what ends a wait only
as well as this."""


class _Clock:
    """The monotonic clock of the process, with its latest reading.

    Attributes:
        latest: The latest reading. Signals are handled between two steps of
            the program, so one that is handled now came after this time.
    """

    __slots__ = ("latest",)

    def __init__(self):
        self.latest = float("-inf")

    def read(self) -> float:
        """Reads the clock.

        The clock runs while the machine is suspended. With a clock that stops,
        a VM that resumes late would treat its expired leases as valid.
        """
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.latest = now
        return now


_CLOCK = _Clock()


def read_clock() -> float:
    """Returns the time of the process's monotonic clock, in seconds."""
    return _CLOCK.read()


class _Poller(poller.ConnectionPoller):
    """Reads available input and records the time up to which it was read.

    Attributes:
        input_read_until: All input that arrived before this time has been
            passed to its handlers, which have run by the next
            `generate_events`.
        unread_since: Input that is handled now arrived after this time.
    """

    def __init__(self, read_clock: Callable[[], float]):
        super().__init__()
        self._read_clock = read_clock
        self.input_read_until = float("-inf")
        self.unread_since = float("-inf")

    def _generate_events(self, event) -> None:
        self.unread_since = self.input_read_until
        if event.time_left:
            began_at = self._read_clock()
            # A negative time left is no limit.
            asked = event.time_left if event.time_left > 0 else MAX_WAIT
            asked = min(asked, MAX_WAIT)
            # Only waits. The clock must be read after the wait and before the
            # input is read; otherwise a freeze between the two would make
            # `input_read_until` later than the input that was read.
            self._poller.poll(asked, 1)
            waited = self._read_clock() - began_at
            if MIN_WAIT <= waited <= asked + MAX_UNHANDLED_TIME:
                # Input ended the wait, so it has just arrived. A process that
                # stood still has waited longer than it asked for.
                self.unread_since = self._read_clock()
        if self.root.has_unhandled_signal:
            # What is read after a stop has begun is subject to its rules.
            return
        self.input_read_until = self._read_clock()
        # The limit covers all sockets: by default epoll returns about a
        # thousand events at most.
        self.dispatch_ready(self._poller.poll(0, max(1, len(self._map))))


class Ticker(circuits.BaseComponent):
    """Calls a function whenever its next due time has come.

    The ticker sets the loop's longest sleep to that time instead of waking up
    at fixed intervals, so an idle process uses almost no processor time.

    Guards against timeouts that are evaluated before the input that arrived in
    time is handled. After a VM was frozen, or a pass of the loop took long, the
    timers are due while the responses that they wait for are unread in the
    kernel: a router frozen for 0.8 s treated upstreams as silent that had
    responded long before, and sent their requests a second time. Therefore the
    input that arrived before a timer was due is handled first. Input that
    arrives while the loop does so is left unhandled only if it arrived within
    the last `MAX_UNHANDLED_TIME` seconds.

    Neither rule defers the timers for more than two passes of the loop, however
    much input there is.

    Attributes:
        late: Seconds between the due time and the pass of the loop that found
            the timers due. The deferral after that pass doesn't count.
    """

    def __init__(
        self,
        find_next_due: Callable[[], float],
        run: Callable[[float], None],
        read_clock: Callable[[], float] = read_clock,
    ):
        super().__init__()
        self._find_next_due = find_next_due
        self._run = run
        self._read_clock = read_clock
        self._poller: _Poller | None = None
        self._planned_at = float("inf")
        self._is_deferred = False
        self._was_delayed = False
        self.late = 0.0

    @property
    def input_read_until(self) -> float:
        """Time up to which all input that had arrived was handled.

        A timeout of something that other processes send counts up to this time
        and not up to the current one.
        """
        return self._poller.input_read_until

    @circuits.handler("registered", channel="*")
    def _on_registered(self, component, _) -> None:
        if component is self:
            self._poller = utils.findcmp(self.root, _Poller)

    @circuits.handler("generate_events", priority=1)
    def _on_generate_events(self, event) -> None:
        now = self._read_clock()
        if not self._is_deferred:
            self.late = max(0.0, now - self._planned_at)
        due = self._find_next_due()
        may_run = self._has_input_until(due, now)
        self._is_deferred = due <= now and not may_run
        if may_run:
            self._run(now)
            now, due = self._read_clock(), self._find_next_due()
        self._planned_at = max(now, due)
        event.reduce_time_left(max(0.0, due - now))

    def _has_input_until(self, due: float, now: float) -> bool:
        """Returns whether all input that arrived before a due time was handled.

        A long pass defers the timers once. If the next pass is long too, the
        process is overloaded, and deferring again would not leave less
        unhandled input.
        """
        input_read_until = self._poller.input_read_until
        is_delayed = now - input_read_until > MAX_UNHANDLED_TIME
        is_late = is_delayed and not self._was_delayed
        self._was_delayed = is_delayed
        return due <= input_read_until and not is_late


class _SignalHandler(circuits.BaseComponent):
    """Calls a function on SIGTERM and SIGINT, and another one on SIGHUP."""

    channel = "*"

    def __init__(
        self,
        on_signal: Callable[[float], None],
        on_reload: Callable[[], None],
    ):
        super().__init__()
        self._on_signal = on_signal
        self._on_reload = on_reload

    @circuits.handler("signal", channel="*")
    def _on_signal_event(self, number: int, sent_after: float) -> None:
        self.root.has_unhandled_signal = False
        if number == signal.SIGHUP:
            self._on_reload()
        else:
            self._on_signal(sent_after)


class _Root(circuits.BaseComponent):
    """Root component, whose signal handler tells when a signal may have come.

    circuits installs the handler of SIGINT and SIGTERM when the loop starts.

    Attributes:
        has_unhandled_signal: Whether a signal came whose event wasn't handled
            yet.
    """

    has_unhandled_signal = False

    def _signal_handler(self, signo: int, stack: object) -> None:
        """Makes a signal an event of the loop.

        A process that wasn't scheduled, or whose machine stood still, handles a
        signal later than it came, but not later than its next step.
        """
        self.has_unhandled_signal = True
        self.fire(events.signal(signo, _CLOCK.latest), "*")


def install_signal_handlers(loop: Loop) -> None:
    """Makes signals events of the loop.

    A signal handler runs inside whatever code the signal interrupts: what it
    raises would end that code, or the process, and what it calls may be in use.
    Called before the process opens its sockets, since a signal without a
    handler ends the process.
    """
    # No signal that is handled came before.
    read_clock()
    for number in _SIGNALS:
        signal.signal(number, loop._signal_handler)


@contextlib.contextmanager
def keep_signals_from_threads() -> Iterator[None]:
    """Blocks the loop's signals in threads that are started meanwhile.

    Guards against a signal that is delivered to a library's thread: the main
    thread, which alone runs the handlers, isn't woken by it, and when a process
    that stood still goes on, it may run some steps before the handler.
    """
    before = signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)


def print_traceback(text: str) -> None:
    """Prints a traceback to stderr; a daemon logs it instead."""
    sys.stderr.write(text)


class _ExceptionReporter(circuits.BaseComponent):
    """Reports exceptions that event handlers did not catch.

    circuits.web treats such an exception as a failed request and reports it to
    nobody if there is no request; the process would continue in an inconsistent
    state without a trace of the cause.
    """

    channel = "*"

    def __init__(self, report: Callable[[str], None]):
        super().__init__()
        self._report = report

    @circuits.handler("exception", channel="*", priority=100)
    def _on_exception(self, kind, error, trace, **_) -> None:
        lines = traceback.format_exception(kind, error, None)
        parts = trace if isinstance(trace, list) else []
        self._report("".join([*parts, *lines]))


def create_loop(
    on_signal: Callable[[float], None],
    on_exception: Callable[[str], None] = print_traceback,
    read_clock: Callable[[], float] = read_clock,
    on_reload: Callable[[], None] = lambda: None,
) -> Loop:
    """Creates a process's event loop.

    Args:
        on_signal: Called on SIGTERM and on SIGINT, with the time after which
            the signal came; it may have come any time from then on.
        on_exception: Called with the traceback of each uncaught exception.
        read_clock: Clock by which the loop records up to when it read input.
        on_reload: Called on SIGHUP.

    Returns:
        The root component; its `run` method runs the process.
    """
    loop = _Root()
    _Poller(read_clock).register(loop)
    _SignalHandler(on_signal, on_reload).register(loop)
    _ExceptionReporter(on_exception).register(loop)
    return loop
