"""Cost of relaying requests and tokens through a router and sidecars.

A router and sidecars run as processes. aiohttp clients in this process keep a
number of streams open, and each simulated engine sends a token to every
stream at a fixed interval. Processor time is read per process.
"""

import asyncio
import dataclasses
import itertools
import json
import pathlib
import statistics
import tempfile
import time

import aiohttp

from benchmarks import capacity_probe as probe
from standins import fleet as fleet_module

SECONDS = 5.0
"""Duration of one measured run."""

WARM_UP = 1.0
"""Seconds of load before a run is measured."""

MAX_TOKEN_GAP = 0.046
"""Largest accepted 95th percentile of the time between tokens, in seconds."""

SLOTS = 600
"""Requests that one simulated engine runs concurrently."""

SERVICES = f"""
[service assistant]
kind = engine
concurrency = {SLOTS}
prompt_weight = 0
"""


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """Load of one run.

    Attributes:
        streams: Number of concurrent requests.
        tokens: Number of tokens of each response.
    """

    streams: int
    tokens: int


@dataclasses.dataclass(slots=True)
class LoadResult:
    """Result of one run.

    Attributes:
        load: The load.
        requests: Requests completed per second.
        tokens: Tokens received by the callers per second.
        wrong: Number of incomplete responses.
        gap: 95th percentile of the time between tokens, in seconds.
        router: Processor seconds per second of the router.
        sidecar: Processor seconds per second of all sidecars together.
        router_memory: Private memory of the router at the end, in bytes.
        sidecar_memory: Private memory of all sidecars at the end, in bytes.
        control: Bytes per second on all control links.
        callers: Processor seconds per second of the callers, which share one
            process. Near 1, the callers limit the throughput.
    """

    load: Load
    requests: float
    tokens: float
    wrong: int
    gap: float
    router: float
    sidecar: float
    router_memory: int
    sidecar_memory: int
    control: float
    callers: float


@dataclasses.dataclass(slots=True)
class _CallerCounts:
    requests: int = 0
    tokens: int = 0
    wrong: int = 0
    gaps: list[float] = dataclasses.field(default_factory=list)


async def _stream_response(
    session, port: int, request: str, tokens: int, count
) -> None:
    content = {"id": request, "team": "mill-a", "tokens": tokens}
    body = {
        "model": "assistant",
        "stream": True,
        "messages": [{"role": "user", "content": json.dumps(content)}],
    }
    headers = {"Authorization": f"Bearer {fleet_module.make_key('mill-a')}"}
    url = f"http://127.0.0.1:{port}/v1/chat/completions"
    seen, last, end = 0, 0.0, b""
    async with session.post(url, json=body, headers=headers) as answer:
        async for piece in answer.content.iter_any():
            now = time.monotonic()
            events = piece.count(b"data: ")
            if last:
                count.gaps.append(now - last)
                # Tokens received in one read have a gap of zero.
                count.gaps += [0.0] * (events - 1)
            last, end = now, (end + piece)[-16:]
            seen += events
            count.tokens += events
        complete = answer.status == 200 and end.endswith(b"data: [DONE]\n\n")
    # A response has two events besides its tokens: a usage record and the
    # end marker.
    count.wrong += not (complete and seen == tokens + 2)
    count.requests += 1


async def _run_load(port: int, load: Load, read) -> tuple:
    """Keeps streams open and measures after the warm-up.

    Args:
        port: Port of the router.
        load: The load.
        read: Reads the resource counters.

    Returns:
        The counts, the counters before and after, and the duration.
    """
    count = _CallerCounts()
    numbers = itertools.count()

    async def keep_calling(session, index: int) -> None:
        # Streams that start at the same time would all end at the same time.
        await asyncio.sleep(WARM_UP / 2 * index / load.streams)
        while True:
            name = f"r{next(numbers)}"
            await _stream_response(session, port, name, load.tokens, count)

    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=None),
    ) as session:
        callers = [
            asyncio.create_task(keep_calling(session, index))
            for index in range(load.streams)
        ]
        await asyncio.sleep(WARM_UP)
        started_at, before = time.monotonic(), read()
        count.requests = count.tokens = count.wrong = 0
        count.gaps.clear()
        await asyncio.sleep(SECONDS)
        duration, after = time.monotonic() - started_at, read()
        counted = dataclasses.replace(count, gaps=list(count.gaps))
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
    return counted, before, after, duration


def measure_load(fleet: fleet_module.Fleet, load: Load) -> LoadResult:
    """Runs a load on a fleet with one router and measures its cost."""
    router = next(n for n in fleet.nodes.values() if n.role == "router")
    sidecars = [n for n in fleet.nodes.values() if n.role == "upstream"]

    def read() -> tuple[float, ...]:
        pids = [node.process.pid for node in sidecars]
        control = fleet_module.call(fleet.relay, "/test/bytes")
        return (
            probe.read_cpu(router.process.pid),
            sum(map(probe.read_cpu, pids)),
            sum(control.values()),
            probe.read_private(router.process.pid),
            sum(map(probe.read_private, pids)),
            time.process_time(),
        )

    count, before, after, duration = asyncio.run(
        _run_load(router.data, load, read)
    )
    used = [b - a for a, b in zip(before, after, strict=True)]
    return LoadResult(
        load,
        count.requests / duration,
        count.tokens / duration,
        count.wrong,
        _compute_gap_p95(count.gaps),
        used[0] / duration,
        used[1] / duration,
        after[3],
        after[4],
        used[2] / duration,
        used[5] / duration,
    )


def _compute_gap_p95(gaps: list[float]) -> float:
    return statistics.quantiles(gaps, n=20)[-1] if len(gaps) > 1 else 0.0


def start_fleet(
    folder: pathlib.Path, token_ms: float, sidecars: int
) -> fleet_module.Fleet:
    """Starts one router, and engines with a fixed token interval.

    Args:
        folder: Folder of the fleet's files.
        token_ms: Milliseconds between two tokens of a stream.
        sidecars: Number of engines, each with a sidecar.
    """
    return fleet_module.start_fleet(
        folder,
        fleet_module.build_configuration_text({"mill-a": 1.0}, SERVICES),
        routers=1,
        upstreams=[
            fleet_module.UpstreamGroup(
                "assistant",
                sidecars,
                "standins.engine",
                SLOTS,
                (f"--token-ms={token_ms}",),
            )
        ],
    )


def run_loads(
    token_ms: float, sidecars: int, loads: list[Load], report=print
) -> list[LoadResult]:
    """Starts a fleet and runs several loads on it in sequence."""
    results = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = start_fleet(pathlib.Path(folder), token_ms, sidecars)
        try:
            for load in loads:
                results.append(measure_load(fleet, load))
                report(format_result(results[-1]))
        finally:
            fleet_module.kill_fleet(fleet)
    return results


def format_result(result: LoadResult) -> str:
    """Formats a result as one line."""
    return (
        f"{result.load.streams} streams x {result.load.tokens} tokens: "
        f"{result.requests:.1f} requests/s, {result.tokens:.0f} tokens/s, "
        f"{result.wrong} not whole, 95% gap {result.gap * 1000:.1f} ms, "
        f"router {result.router:.3f} and sidecars {result.sidecar:.3f} "
        "of a core"
    )


REQUEST_LOADS = [Load(streams, 1) for streams in (1, 2, 4)]
"""Loads to which the cost of a request is fitted."""

TOKEN_LOADS = [Load(streams, 250) for streams in (10, 20, 40)]
"""Loads to which the cost of a token is fitted, at 250 tokens per request."""

RISING_LOADS = [Load(streams, 125) for streams in (80, 160, 240, 320, 400)]
"""Increasing loads that find the highest token rate of a router."""


def measure(report=print) -> list[probe.Measure]:
    """Measures the cost of requests, tokens and open streams."""
    short = run_loads(13.0, 1, REQUEST_LOADS, report)
    long = run_loads(13.0, 1, TOKEN_LOADS, report)
    rising = run_loads(30.0, 2, RISING_LOADS, report)
    measures = []
    for role in ("router", "sidecar"):
        measures += _fit_role(role, short, long, rising)
    control = [(r.requests, r.control) for r in short]
    measures.append(
        probe.fit_slope(
            "request-control",
            "control bytes of a request on all links, one sidecar",
            "bytes",
            control,
        )
    )
    return [*measures, _find_max_token_rate(rising)]


def _fit_role(role: str, short, long, rising) -> list[probe.Measure]:
    """Fits the costs of one role: per request, token and open stream."""
    get_cpu = lambda result: getattr(result, role)  # noqa: E731
    request = probe.fit_slope(
        f"{role}-request-cpu",
        f"{role}: a request of one token",
        "ms",
        [(r.requests, get_cpu(r)) for r in short],
        1e3,
    )
    token = probe.fit_slope(
        f"{role}-token-cpu",
        f"{role}: a token, its share of a request of 250 included",
        "us",
        [(r.tokens, get_cpu(r)) for r in long],
        1e6,
    )
    stream = probe.fit_slope(
        f"{role}-stream-memory",
        f"{role}: private memory per open stream",
        "bytes",
        [(r.load.streams, getattr(r, f"{role}_memory")) for r in rising],
    )
    return [request, token, stream]


def _find_max_token_rate(rising: list[LoadResult]) -> probe.Measure:
    """Finds the highest token rate whose gap stayed below `MAX_TOKEN_GAP`."""
    kept = [r for r in rising if r.gap < MAX_TOKEN_GAP and not r.wrong]
    most = max((r.tokens for r in kept), default=0.0)
    points = "; ".join(
        f"{r.tokens:.0f} tokens/s: {r.gap * 1000:.1f} ms, "
        f"router {r.router:.2f} and callers {r.callers:.2f} of a core, "
        f"{r.wrong} not whole"
        for r in rising
    )
    what = f"router: tokens/s with 95% gap below {MAX_TOKEN_GAP * 1000:.0f} ms"
    return probe.Measure("router-token-rate", what, most, "1/s", points)


def main() -> None:
    """Runs all loads and prints their results and the fitted costs."""
    for line in measure():
        print(f"{line.key}: {line.value:.4g} {line.unit} ({line.points})")


if __name__ == "__main__":
    main()
