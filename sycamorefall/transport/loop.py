"""The one event loop of a process: clock, timers and signals."""

__all__ = ["Loop", "Ticker", "create_loop", "read_clock"]

from collections.abc import Callable
import sys
import time
import traceback

import circuits
from circuits.core import utils

from sycamorefall.transport import poller

Loop = circuits.BaseComponent
"""Root component of a process; everything else is registered below it."""

LONGEST_UNSEEN = 0.1
"""Seconds of input that may be unhandled when timers run: a fifth of the
shortest time after which an upstream is given up, and twice what a pass of
the loop takes in a process that isn't overloaded."""


def read_clock() -> float:
    """Reads the process's clock, in seconds.

    The clock goes on while the machine is suspended: one that stands still
    would let a VM that wakes up late take its expired leases for valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class _Poller(poller.ConnectionPoller):
    """Takes the input that has come, and notes up to when it has.

    Attributes:
        taken_until: All input that came before this time was passed on; by
            the next `generate_events` it was handled.
    """

    def __init__(self, read_clock: Callable[[], float]):
        super().__init__()
        self._read_clock = read_clock
        self.taken_until = float("-inf")

    def _generate_events(self, event) -> None:
        if event.time_left:
            # Waits only: the clock must be read after the wait and before
            # the input is taken, or a freeze between the two would make
            # `taken_until` later than what was taken.
            self._poller.poll(event.time_left, 1)
        self.taken_until = self._read_clock()
        # Without a bound: epoll gives about a thousand events otherwise.
        self.pass_on(self._poller.poll(0, max(1, len(self._map))))


class Ticker(circuits.BaseComponent):
    """Calls a function whenever its next due time has come.

    It sets the loop's longest sleep to that time instead of waking up at
    fixed intervals, so an idle process costs next to nothing.

    Guards against time limits that are judged without the input that came
    before they ended. After a VM was frozen, or a pass took long, the timers
    are due and the answers that they wait for lie in the kernel: a router
    frozen for 0.8 s took upstreams for silent that had answered long since,
    and sent their requests a second time. So the input that came until a
    time is due is handled first. What comes while the loop handles that is
    left out only if it came within the last `LONGEST_UNSEEN` seconds.

    Neither holds the timers up for more than two passes of the loop, however
    much input there is.

    Attributes:
        late: Seconds by which the pass of the loop that found something due
            missed it. That the call is put off after that doesn't count.
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
        self._planned = float("inf")
        self._put_off = False
        self._was_long = False
        self.late = 0.0

    @circuits.handler("registered", channel="*")
    def _on_registered(self, component, _) -> None:
        if component is self:
            self._poller = utils.findcmp(self.root, _Poller)

    @circuits.handler("generate_events", priority=1)
    def _on_generate_events(self, event) -> None:
        now = self._read_clock()
        if not self._put_off:
            self.late = max(0.0, now - self._planned)
        due = self._find_next_due()
        may_run = self._has_input_until(due, now)
        self._put_off = due <= now and not may_run
        if may_run:
            self._run(now)
            now, due = self._read_clock(), self._find_next_due()
        self._planned = max(now, due)
        event.reduce_time_left(max(0.0, due - now))

    def _has_input_until(self, due: float, now: float) -> bool:
        """Tells whether what came until a due time was handled.

        A long pass puts the timers off once. If the next one is long too,
        the process has more to do than it can, and another look would not
        find less input that isn't handled.
        """
        taken_until = self._poller.taken_until
        is_long = now - taken_until > LONGEST_UNSEEN
        is_late = is_long and not self._was_long
        self._was_long = is_long
        return due <= taken_until and not is_late


class _SignalCatcher(circuits.BaseComponent):
    """Turns SIGTERM and SIGINT into a call."""

    channel = "*"

    def __init__(self, on_signal: Callable[[], None]):
        super().__init__()
        self._on_signal = on_signal

    @circuits.handler("signal", channel="*")
    def _on_signal_event(self, *_) -> None:
        self._on_signal()


def print_fault(text: str) -> None:
    """Prints a fault's traceback; a daemon puts it into its log instead."""
    sys.stderr.write(text)


class _FaultReporter(circuits.BaseComponent):
    """Shows exceptions that escaped a handler.

    circuits.web takes such an exception for a failed request and shows it to
    nobody if there is none; the process would go on with half a decision and
    no trace of why.
    """

    channel = "*"

    def __init__(self, report: Callable[[str], None]):
        super().__init__()
        self._report = report

    @circuits.handler("exception", channel="*", priority=100)
    def _on_exception(self, kind, fault, trace, **_) -> None:
        lines = traceback.format_exception(kind, fault, None)
        parts = trace if isinstance(trace, list) else []
        self._report("".join([*parts, *lines]))


def create_loop(
    on_signal: Callable[[], None],
    on_fault: Callable[[str], None] = print_fault,
    read_clock: Callable[[], float] = read_clock,
) -> Loop:
    """Creates a process's loop.

    Args:
        on_signal: Called on SIGTERM and on SIGINT.
        on_fault: Called with the traceback of each exception that escaped.
        read_clock: The clock by which the loop notes what it has taken.

    Returns:
        The root component; its `run` method runs the process.
    """
    loop = circuits.BaseComponent()
    _Poller(read_clock).register(loop)
    _SignalCatcher(on_signal).register(loop)
    _FaultReporter(on_fault).register(loop)
    return loop
