"""Cost of a request by number of idle connections.

A server and its callers share this process. Only the processor time of the
server's event loop is measured. The cost must not grow with the number of idle
connections; otherwise many connected callers would delay each other's
requests.
"""

import argparse
import collections
from collections.abc import Callable, Iterator, Sequence
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

IDLE_CONNECTIONS = (10, 1_000, 3_000)
"""Numbers of idle connections during the measured requests."""

REQUESTS = 500
"""Number of requests of one measured run."""

REPEATS = 5
"""Number of runs, of which the cheapest is reported.

Other work on the machine can only increase the measured time.
"""

MAX_LOOP_ITERATIONS = 3_000
"""Loop iterations after which a request is considered unanswered."""

HEAD = b"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
BODY = b"x" * 200
REQUEST = b"%sContent-Length: %d\r\n\r\n%s" % (HEAD, len(BODY), BODY)


class MeasuredServer:
    """A server that refuses all requests and measures its event loop.

    Attributes:
        address: Address on which the server listens.
        seconds: Processor time of the event loop since the last reset.
        server: The server.
    """

    __slots__ = ("_loop", "address", "seconds", "server")

    def __init__(self):
        self.address = settings.Address("127.0.0.1", fleet.reserve_ports(1)[0])
        self.seconds = 0.0
        self._loop = transport.create_loop(lambda _: None)
        self.server = transport.HttpServer(
            self.address,
            settings.LimitSettings(max_connections=10 * max(IDLE_CONNECTIONS)),
            lambda call: call.fail(errors.ErrorKind.NO_UPSTREAM, retry_after=1),
        ).register(self._loop)
        # Sets up the loop as `run` does, but the caller runs each iteration on
        # its own thread.
        self._loop._running = True
        self._loop._executing_thread = threading.current_thread()
        self._loop.fire(events.started(self._loop))

    def run_loop_once(self) -> None:
        """Runs one iteration of the loop and adds its processor time."""
        started_at = time.thread_time()
        self._loop.tick(0.0)
        self.seconds += time.thread_time() - started_at


@dataclasses.dataclass(slots=True, frozen=True)
class Cost:
    """Processor time of one request.

    Attributes:
        idle: Number of idle connections.
        kept: Whether the request arrived on a persistent connection.
        microseconds: Processor time of the event loop.
    """

    idle: int
    kept: bool
    microseconds: float


def measure_cost(
    idle: int, kept: bool, requests: int = REQUESTS, repeats: int = REPEATS
) -> Cost:
    """Measures the cost of a request while idle connections are open.

    Args:
        idle: Number of idle connections.
        kept: Whether all requests are sent on one persistent connection.
        requests: Number of requests of one run.
        repeats: Number of runs, of which the cheapest is reported.
    """
    costs = measure_alternately((idle,), kept, requests, repeats)
    return min((cost for (cost,) in costs), key=lambda cost: cost.microseconds)


def measure_alternately(
    idle_counts: Sequence[int], kept: bool, requests: int, repeats: int
) -> list[tuple[Cost, ...]]:
    """Measures the cost for several numbers of idle connections in turn.

    The runs of one repetition follow each other directly, so a machine that
    becomes slower or faster changes all of them alike.

    Args:
        idle_counts: Numbers of idle connections, each at a server of its own.
        kept: Whether all requests are sent on one persistent connection.
        requests: Number of requests of one run.
        repeats: Number of repetitions.

    Returns:
        For each repetition, the cost for each number of idle connections.
    """
    run = _send_on_kept_connection if kept else _send_on_new_connections
    with contextlib.ExitStack() as stack:
        servers = [MeasuredServer() for _ in idle_counts]
        for measured, idle in zip(servers, idle_counts, strict=True):
            _open_idle_connections(measured, stack, idle)
            run(measured, requests // 5)
        gc.collect()
        costs = []
        for _ in range(repeats):
            repetition = []
            for measured, idle in zip(servers, idle_counts, strict=True):
                measured.seconds = 0.0
                run(measured, requests)
                microseconds = measured.seconds / requests * 1e6
                repetition.append(Cost(idle, kept, microseconds))
            costs.append(tuple(repetition))
        for measured in servers:
            measured.server.server.close()
            _run_loop_until(
                measured, lambda m=measured: not m.server._connections
            )
    return costs


def _open_idle_connections(
    measured: MeasuredServer, stack: contextlib.ExitStack, idle: int
) -> None:
    for number in range(1, idle + 1):
        stack.enter_context(_connect(measured))
        # The kernel queues a bounded number of connections until the server
        # accepts them.
        if number % 50 == 0 or number == idle:
            _run_loop_until(
                measured, lambda n=number: _count_open(measured) == n
            )


def _count_open(measured: MeasuredServer) -> int:
    return len(measured.server._connections)


def _send_on_kept_connection(measured: MeasuredServer, requests: int) -> None:
    with _connect(measured) as caller:
        for _ in range(requests):
            _send_request(measured, caller)


def _send_on_new_connections(measured: MeasuredServer, requests: int) -> None:
    before = _count_open(measured)
    for _ in range(requests):
        with _connect(measured) as caller:
            _send_request(measured, caller)
        _run_loop_until(measured, lambda: _count_open(measured) == before)


def _connect(measured: MeasuredServer) -> socket.socket:
    caller = socket.create_connection(measured.address.pair)
    caller.setblocking(False)
    return caller


def _send_request(measured: MeasuredServer, caller: socket.socket) -> None:
    caller.send(REQUEST)
    _run_loop_until(measured, lambda: _receive_response(caller))


def _receive_response(caller: socket.socket) -> bool:
    try:
        answer = caller.recv(1 << 16)
    except BlockingIOError:
        return False
    assert answer.startswith(b"HTTP/1.1 503") and answer.endswith(b"}}"), answer
    return True


def _run_loop_until(
    measured: MeasuredServer, check: Callable[[], bool]
) -> None:
    for _ in range(MAX_LOOP_ITERATIONS):
        measured.run_loop_once()
        if check():
            return
    raise AssertionError("the server did not answer the request")


def _measure_all(requests: int, repeats: int) -> Iterator[Cost]:
    for idle in IDLE_CONNECTIONS:
        for kept in (False, True):
            yield measure_cost(idle, kept, requests, repeats)


def raise_descriptor_limit() -> None:
    """Raises the limit of open files of this process to the hard limit."""
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))


def main() -> None:
    """Prints the cost of requests on new and persistent connections."""
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
