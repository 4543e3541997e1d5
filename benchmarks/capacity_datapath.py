"""Cost of requests and tokens on their way through router and sidecar.

A router and sidecars run as processes; aiohttp callers in this process keep
a number of streams open, and each engine stand-in gives every stream a token
at a fixed pace. Processor time is the processes' own.
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
"""Length of one measured run."""

WARM_UP = 1.0
"""Seconds of load before a run is measured."""

BOUND = 0.046
"""Longest time between tokens that 95 in 100 may see, in seconds."""

SLOTS = 600
"""Requests that one engine stand-in runs at a time."""

SERVICES = f"""
[service assistant]
kind = engine
concurrency = {SLOTS}
prompt_weight = 0
"""


@dataclasses.dataclass(slots=True, frozen=True)
class Load:
    """What the callers do during one run.

    Attributes:
        streams: Requests in progress at a time.
        tokens: Tokens of each answer.
    """

    streams: int
    tokens: int


@dataclasses.dataclass(slots=True)
class Reading:
    """What one run showed.

    Attributes:
        load: What the callers did.
        requests: Requests ended per second.
        tokens: Tokens that reached the callers per second.
        wrong: Answers that were not whole.
        gap: Time between tokens that 95 in 100 did not exceed, in seconds.
        router: Router's processor time per second.
        sidecar: The same of all sidecars together.
        router_memory: Router's private memory at the end, in bytes.
        sidecar_memory: The same of all sidecars together.
        control: Bytes per second on all control links.
        callers: Processor time per second of the callers, who are one
            process: near 1, it is they who can take no more.
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
class _Count:
    requests: int = 0
    tokens: int = 0
    wrong: int = 0
    gaps: list[float] = dataclasses.field(default_factory=list)


async def _call(session, port: int, request: str, tokens: int, count) -> None:
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
                # Tokens that came together had no time between them.
                count.gaps += [0.0] * (events - 1)
            last, end = now, (end + piece)[-16:]
            seen += events
            count.tokens += events
        whole = answer.status == 200 and end.endswith(b"data: [DONE]\n\n")
    # Besides its tokens an answer has a usage record and an end mark.
    count.wrong += not (whole and seen == tokens + 2)
    count.requests += 1


async def _run_load(port: int, load: Load, read) -> tuple:
    """Keeps streams open; gives counts and readings of the middle part."""
    count = _Count()
    numbers = itertools.count()

    async def keep_calling(session, index: int) -> None:
        # Streams that begin together would all end together.
        await asyncio.sleep(WARM_UP / 2 * index / load.streams)
        while True:
            name = f"r{next(numbers)}"
            await _call(session, port, name, load.tokens, count)

    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=None),
    ) as session:
        callers = [
            asyncio.create_task(keep_calling(session, index))
            for index in range(load.streams)
        ]
        await asyncio.sleep(WARM_UP)
        begun, before = time.monotonic(), read()
        count.requests = count.tokens = count.wrong = 0
        count.gaps.clear()
        await asyncio.sleep(SECONDS)
        lasted, after = time.monotonic() - begun, read()
        counted = dataclasses.replace(count, gaps=list(count.gaps))
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
    return counted, before, after, lasted


def measure_load(fleet: fleet_module.Fleet, load: Load) -> Reading:
    """Puts a load on a fleet of one router and reads what it cost."""
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

    count, before, after, lasted = asyncio.run(
        _run_load(router.data, load, read)
    )
    spent = [b - a for a, b in zip(before, after, strict=True)]
    return Reading(
        load,
        count.requests / lasted,
        count.tokens / lasted,
        count.wrong,
        _find_gap(count.gaps),
        spent[0] / lasted,
        spent[1] / lasted,
        after[3],
        after[4],
        spent[2] / lasted,
        spent[5] / lasted,
    )


def _find_gap(gaps: list[float]) -> float:
    return statistics.quantiles(gaps, n=20)[-1] if len(gaps) > 1 else 0.0


def start_fleet(
    folder: pathlib.Path, token_ms: float, sidecars: int
) -> fleet_module.Fleet:
    """Starts one router and sidecars beside engines of a fixed pace."""
    return fleet_module.start_fleet(
        folder,
        fleet_module.write_text({"mill-a": 1.0}, SERVICES),
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
) -> list[Reading]:
    """Runs several loads on one fleet, one after the other."""
    readings = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = start_fleet(pathlib.Path(folder), token_ms, sidecars)
        try:
            for load in loads:
                readings.append(measure_load(fleet, load))
                report(describe_reading(readings[-1]))
        finally:
            fleet_module.kill_fleet(fleet)
    return readings


def describe_reading(reading: Reading) -> str:
    """Writes a reading as one line."""
    return (
        f"{reading.load.streams} streams x {reading.load.tokens} tokens: "
        f"{reading.requests:.1f} requests/s, {reading.tokens:.0f} tokens/s, "
        f"{reading.wrong} not whole, 95% gap {reading.gap * 1000:.1f} ms, "
        f"router {reading.router:.3f} and sidecars {reading.sidecar:.3f} "
        "of a core"
    )


SHORT = [Load(streams, 1) for streams in (1, 2, 4)]
"""Loads that show the cost of a request."""

LONG = [Load(streams, 250) for streams in (10, 20, 40)]
"""Loads that show the cost of a token, at 250 tokens to a request."""

RISING = [Load(streams, 125) for streams in (80, 160, 240, 320, 400)]
"""Loads that show how much a router carries."""


def measure(report=print) -> list[probe.Measure]:
    """Measures requests, tokens and open streams."""
    short = run_loads(13.0, 1, SHORT, report)
    long = run_loads(13.0, 1, LONG, report)
    rising = run_loads(30.0, 2, RISING, report)
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
    return [*measures, _find_capacity(rising)]


def _fit_role(role: str, short, long, rising) -> list[probe.Measure]:
    """Fits the slopes of one role."""
    spent = lambda reading: getattr(reading, role)  # noqa: E731
    request = probe.fit_slope(
        f"{role}-request-cpu",
        f"{role}: a request of one token",
        "ms",
        [(r.requests, spent(r)) for r in short],
        1e3,
    )
    token = probe.fit_slope(
        f"{role}-token-cpu",
        f"{role}: a token, its share of a request of 250 included",
        "us",
        [(r.tokens, spent(r)) for r in long],
        1e6,
    )
    stream = probe.fit_slope(
        f"{role}-stream-memory",
        f"{role}: private memory per open stream",
        "bytes",
        [(r.load.streams, getattr(r, f"{role}_memory")) for r in rising],
    )
    return [request, token, stream]


def _find_capacity(rising: list[Reading]) -> probe.Measure:
    """Finds the highest rate that kept the bound between tokens."""
    kept = [r for r in rising if r.gap < BOUND and not r.wrong]
    most = max((r.tokens for r in kept), default=0.0)
    points = "; ".join(
        f"{r.tokens:.0f} tokens/s: {r.gap * 1000:.1f} ms, "
        f"router {r.router:.2f} and callers {r.callers:.2f} of a core, "
        f"{r.wrong} not whole"
        for r in rising
    )
    what = f"router: tokens/s with 95% gap below {BOUND * 1000:.0f} ms"
    return probe.Measure("router-token-rate", what, most, "1/s", points)


def main() -> None:
    """Runs all loads and prints the readings and slopes."""
    for line in measure():
        print(f"{line.key}: {line.value:.4g} {line.unit} ({line.points})")


if __name__ == "__main__":
    main()
