"""Cost of a request beside idle connections.

A server and its callers share this process; only the turns of the server's
loop are counted, in processor time. What a request costs must not grow with
the connections that are merely open: a crowd of callers would make each
other late.
"""

import argparse
import collections
from collections.abc import Callable, Iterator
import contextlib
import dataclasses
import gc
import resource
import socket
import threading
import time

from circuits.core import events

from standins import fleet
from sycamorefall import errors, settings, transport

IDLE = (10, 1_000, 3_000)
"""Numbers of idle connections beside which requests are measured."""

REQUESTS = 500
"""Requests of one measured run."""

REPEATS = 5
"""Runs, of which the cheapest counts: other work on a machine only adds."""

TURNS = 3_000
"""Turns of the loop after which a request counts as lost."""

HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
BODY = b"x" * 200
REQUEST = b"%sContent-Length: %d\r\n\r\n%s" % (HEAD, len(BODY), BODY)


class Station:
    """A server that refuses all requests, and what its loop cost.

    Attributes:
        address: Where it listens.
        seconds: Processor time of the loop's turns so far.
        server: The server.
    """

    __slots__ = ("_loop", "address", "seconds", "server")

    def __init__(self):
        self.address = settings.Address("127.0.0.1", fleet.reserve_ports(1)[0])
        self.seconds = 0.0
        self._loop = transport.create_loop(lambda: None)
        self.server = transport.HttpServer(
            self.address,
            settings.LimitSettings(max_connections=10 * max(IDLE)),
            lambda call: call.fail(errors.ErrorKind.NO_UPSTREAM, retry_after=1),
        ).register(self._loop)
        # As `run` does, but the caller keeps the thread and turns the loop.
        self._loop._running = True
        self._loop._executing_thread = threading.current_thread()
        self._loop.fire(events.started(self._loop))

    def turn(self) -> None:
        """Turns the loop once and counts its processor time."""
        begun = time.thread_time()
        self._loop.tick(0.0)
        self.seconds += time.thread_time() - begun


@dataclasses.dataclass(slots=True, frozen=True)
class Cost:
    """Processor time of one request.

    Attributes:
        idle: Idle connections beside it.
        kept: Whether it came on a kept connection.
        microseconds: Processor time of the loop.
    """

    idle: int
    kept: bool
    microseconds: float


def measure_cost(
    idle: int, kept: bool, requests: int = REQUESTS, repeats: int = REPEATS
) -> Cost:
    """Measures what a request costs beside idle connections.

    Args:
        idle: Idle connections.
        kept: Whether all requests come on one kept connection.
        requests: Requests of one run.
        repeats: Runs, of which the cheapest counts.
    """
    with contextlib.ExitStack() as stack:
        station = Station()
        _fill(station, stack, idle)
        run = _call_on_kept if kept else _call_on_new
        run(station, requests // 5)
        gc.collect()
        taken = []
        for _ in range(repeats):
            station.seconds = 0.0
            run(station, requests)
            taken.append(station.seconds / requests * 1e6)
        station.server.server.close()
        _turn_until(station, lambda: not station.server._connections)
    return Cost(idle, kept, min(taken))


def _fill(station: Station, stack: contextlib.ExitStack, idle: int) -> None:
    for number in range(1, idle + 1):
        stack.enter_context(_connect(station))
        # The kernel holds a bounded number of connections not yet accepted.
        if number % 50 == 0 or number == idle:
            _turn_until(station, lambda n=number: _count_open(station) == n)


def _count_open(station: Station) -> int:
    return len(station.server._connections)


def _call_on_kept(station: Station, requests: int) -> None:
    with _connect(station) as caller:
        for _ in range(requests):
            _ask(station, caller)


def _call_on_new(station: Station, requests: int) -> None:
    before = _count_open(station)
    for _ in range(requests):
        with _connect(station) as caller:
            _ask(station, caller)
        _turn_until(station, lambda: _count_open(station) == before)


def _connect(station: Station) -> socket.socket:
    caller = socket.create_connection(station.address.pair)
    caller.setblocking(False)
    return caller


def _ask(station: Station, caller: socket.socket) -> None:
    caller.send(REQUEST)
    _turn_until(station, lambda: _has_answer(caller))


def _has_answer(caller: socket.socket) -> bool:
    try:
        answer = caller.recv(1 << 16)
    except BlockingIOError:
        return False
    assert answer.startswith(b"HTTP/1.1 503") and answer.endswith(b"}}"), answer
    return True


def _turn_until(station: Station, check: Callable[[], bool]) -> None:
    for _ in range(TURNS):
        station.turn()
        if check():
            return
    raise AssertionError("the server gave no answer")


def _measure_all(requests: int, repeats: int) -> Iterator[Cost]:
    for idle in IDLE:
        for kept in (False, True):
            yield measure_cost(idle, kept, requests, repeats)


def raise_descriptor_limit() -> None:
    """Raises this process's own limit as far as it may."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))


def main() -> None:
    """Prints the microseconds of each kind of request as a table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--requests", type=int, default=REQUESTS)
    parser.add_argument("--repeats", type=int, default=REPEATS)
    options = parser.parse_args()
    raise_descriptor_limit()
    costs = collections.defaultdict(dict)
    for cost in _measure_all(options.requests, options.repeats):
        costs[cost.idle][cost.kept] = cost.microseconds
    print("| idle connections | us, new connection | us, kept one |")
    print("|---|---|---|")
    for idle, by_kept in costs.items():
        print(f"| {idle:,} | {by_kept[False]:.0f} | {by_kept[True]:.0f} |")


if __name__ == "__main__":
    main()
