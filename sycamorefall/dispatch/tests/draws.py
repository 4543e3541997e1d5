"""Draws of what callers ask for, and of silences, for plays of a fleet."""

import dataclasses
import random

from sycamorefall.dispatch.tests import model

SILENT = "ledger-0"
"""The sidecar that falls silent."""


@dataclasses.dataclass(slots=True)
class Demand:
    """What a caller asks for, and what its runs take.

    Attributes:
        at: Seconds after the start of the play at which it is sent.
        router: VM name of its router.
        timeout: Seconds until its deadline.
        idempotent: Whether it may run more than once.
        length: Seconds that a run takes.
        first: Seconds until the first piece; infinite if the response comes as
            a whole at the end.
        gap: Seconds between two pieces.
    """

    at: float
    router: str
    timeout: float
    idempotent: bool
    length: float
    first: float
    gap: float


@dataclasses.dataclass(slots=True, frozen=True)
class Silence:
    """A span in which nothing is heard of a VM.

    Attributes:
        vm: Name of the VM.
        begin: When it begins, by the fleet's time.
        end: When the VM is heard again; infinite if it never is.
        frozen: Whether its process is suspended; otherwise its links are cut.
        replaced: Whether a new process runs there from the end on.
        lag: Seconds after the end for which data connections still hold their
            bytes back, as TCP sends again at ever longer intervals.
    """

    vm: str
    begin: float
    end: float
    frozen: bool
    replaced: bool = False
    lag: float = 0.0


def draw_demand(rng: random.Random) -> Demand:
    """Draws a request: plain or streamed, short or longer than its deadline."""
    streamed = rng.random() < 0.5
    return Demand(
        at=rng.uniform(0.0, 3.0),
        router=rng.choice(model.ROUTERS),
        timeout=rng.choice((6.0, 20.0, 60.0)),
        idempotent=rng.random() < 0.7,
        length=rng.uniform(0.5, 25.0),
        first=rng.uniform(0.1, 8.0) if streamed else float("inf"),
        gap=rng.choice((0.1, 0.5, 3.0, 9.0)),
    )


def draw_silences(rng: random.Random, begin: float) -> list[Silence]:
    """Draws a silence of a sidecar, and at times a shorter one of another VM.

    Args:
        rng: Source of the draws.
        begin: When the play begins, by the fleet's time.

    Returns:
        The silences.
    """
    at = begin + rng.uniform(0.2, 5.0)
    end = at + rng.choice((1.0, 2.5, 5.0, 9.5, 12.0, float("inf")))
    frozen, replaced = rng.random() < 0.5, rng.random() < 0.15
    silences = [Silence(SILENT, at, end, frozen, replaced)]
    if rng.random() < 0.3:
        others = [
            name for name in (*model.ROUTERS, *model.SIDECARS) if name != SILENT
        ]
        at = begin + rng.uniform(0.2, 9.0)
        end = at + rng.choice((1.0, 2.5, 5.0))
        silences.append(Silence(rng.choice(others), at, end, True))
    return silences


def add_lag(rng: random.Random, silence: Silence) -> Silence:
    """Draws the lag of data connections after the links were cut.

    TCP doubles the interval at which it sends again, so the interval at the end
    is at most as long as the cut.

    Args:
        rng: Source of the draw.
        silence: A silence without a lag.

    Returns:
        The silence with a lag; unchanged unless it is a cut that ends.
    """
    if silence.frozen or silence.end == float("inf"):
        return silence
    lag = rng.uniform(0.0, silence.end - silence.begin)
    return dataclasses.replace(silence, lag=lag)
