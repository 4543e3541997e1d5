"""The one event loop of a process: clock, timers and signals."""

__all__ = ["Loop", "Ticker", "create_loop", "read_clock"]

from collections.abc import Callable
import sys
import time
import traceback

import circuits

from sycamorefall.transport import poller

Loop = circuits.BaseComponent
"""Root component of a process; everything else is registered below it."""


def read_clock() -> float:
    """Reads the process's clock, in seconds.

    The clock goes on while the machine is suspended: one that stands still
    would let a VM that wakes up late take its expired leases for valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Ticker(circuits.BaseComponent):
    """Calls a function whenever its next due time has come.

    It sets the loop's longest sleep to that time instead of waking up at
    fixed intervals, so an idle process costs next to nothing.

    Attributes:
        late: Seconds by which the last pass of the loop missed what was due.
    """

    def __init__(
        self, find_next_due: Callable[[], float], run: Callable[[float], None]
    ):
        super().__init__()
        self._find_next_due = find_next_due
        self._run = run
        self._planned = float("inf")
        self.late = 0.0

    @circuits.handler("generate_events", priority=1)
    def _on_generate_events(self, event) -> None:
        now = read_clock()
        self.late = max(0.0, now - self._planned)
        due = self._find_next_due()
        if now >= due:
            self._run(now)
            now, due = read_clock(), self._find_next_due()
        self._planned = max(now, due)
        event.reduce_time_left(max(0.0, due - now))


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
) -> Loop:
    """Creates a process's loop.

    Args:
        on_signal: Called on SIGTERM and on SIGINT.
        on_fault: Called with the traceback of each exception that escaped.

    Returns:
        The root component; its `run` method runs the process.
    """
    loop = circuits.BaseComponent()
    poller.ConnectionPoller().register(loop)
    _SignalCatcher(on_signal).register(loop)
    _FaultReporter(on_fault).register(loop)
    return loop
