"""Which upstream gets a request.

An engine that has read the shared part of a prompt before need not read it
again, which is most of a long prompt's work. So requests with the same last
shared part go to the same engine, found by rendezvous hashing that all routers
compute alike, unless waiting there costs more than reading anew elsewhere.
"""

__all__ = [
    "PartUses",
    "Prompt",
    "Readiness",
    "choose_upstream",
    "count_missing",
    "note_prompt",
    "note_use",
]

import collections
from collections.abc import Collection
import dataclasses
import enum
import hashlib
import itertools
import math

from sycamorefall.direct import catalog as catalog_module
from sycamorefall.direct import upstreams as upstreams_module
from sycamorefall.direct.upstreams import Upstream

READ_AGAIN = 3.0
"""Weight of reading a shared part again, against waiting as long: it delays
all that runs at the engine too, and pushes another part out of its cache."""

AGAIN_SHARE = 0.2
"""Reading again that a request may cause away from the engines that have its
shared part, as a part of its own work (tokens read and twice those made). A
request that would cause more is better told to come back: the work could
serve another one."""

USES_PER_HOME = 30
"""Uses of a shared part in the last seconds from which on another engine is
to hold it too: about a sixth of what one engine can serve of long prompts."""

MOST_PARTS = 20_000
"""Parts whose uses are counted: 4 MB."""

OUTPUT_WEIGHT = 2
"""What a token that is made costs, in tokens that are read."""

USE_MEMORY = 10.0
"""Seconds over which the uses of a part are counted."""

HOME_TRUST = 0.6
"""Part of a shared prompt that its home is taken to hold if this router did
not send it there: others may have, or it may have been pushed out."""

FIRST_STEP = 0.06
"""Seconds to the first event besides reading: the way there and back, and the
engine's first steps with a full batch."""

IDLE_QUEUE = 0.02
"""Seconds of reading up to which an engine has next to nothing to do."""

IDLE_BATCH = 0.7
"""Part of the slots up to which the same holds."""

MEMORY_SHARE = 0.9
"""Part of an engine's cache that running requests may fill. Beyond it the
engine throws running requests out and reads them again."""

FAILURE_COST = 0.6
"""Seconds that a certain failure counts like."""

CROWD_COST = 0.04
"""Seconds that a full batch counts like: tokens come slower in it."""

PLAIN_WORK = 0.045
"""Seconds that a plain service's request takes, about."""

PLAIN_QUEUE = 2
"""Requests at a plain upstream at a time, as a multiple of its slots."""

AWAY_COST = 0.004
"""Seconds that another failure domain counts like, for plain services."""


class Readiness(enum.Enum):
    """How free an engine has to be to take a request.

    ON_TIME: free enough to begin the answer before it is due.
    IDLE: with next to nothing to do.
    """

    ON_TIME = "on_time"
    IDLE = "idle"


@dataclasses.dataclass(slots=True, frozen=True)
class Prompt:
    """What a request asks of an engine.

    Attributes:
        tokens: Tokens of the whole prompt.
        output: Tokens it is expected to make.
        parts: Parts of the prompt in order, with their tokens; the last one
            is the request's own.
    """

    tokens: int
    output: int
    parts: tuple[tuple[str, int], ...] = ()

    @property
    def home_key(self) -> str:
        """The last part that other requests share; empty if there is none."""
        return self.parts[-2][0] if len(self.parts) > 1 else ""

    @property
    def shared(self) -> int:
        """Tokens of the parts that other requests share."""
        return sum(tokens for _, tokens in self.parts[:-1])

    @property
    def own_work(self) -> int:
        """Cost units of what no other request shares."""
        return self.tokens - self.shared + OUTPUT_WEIGHT * self.output


@dataclasses.dataclass(slots=True)
class PartUses:
    """How often shared parts were asked for lately at this router.

    Attributes:
        uses: By part: a count that decays, and when it was last brought up
            to date. The least recently used come first.
    """

    uses: collections.OrderedDict[str, tuple[float, float]] = dataclasses.field(
        default_factory=collections.OrderedDict
    )


def note_use(uses: PartUses, now: float, key: str) -> float:
    """Counts a use of a part.

    Args:
        uses: The counts; changed.
        now: This process's time.
        key: The part; an empty one is not counted.

    Returns:
        Uses of the part over about `USE_MEMORY` seconds, this one included.
    """
    if not key:
        return 0.0
    count, since = uses.uses.get(key, (0.0, now))
    count = count * math.exp((since - now) / USE_MEMORY) + 1.0
    uses.uses[key] = (count, now)
    uses.uses.move_to_end(key)
    while len(uses.uses) > MOST_PARTS:
        uses.uses.popitem(last=False)
    return count


def note_prompt(
    upstream: Upstream, prompt: Prompt, engine: catalog_module.Engine
) -> None:
    """Takes note that an engine reads a prompt.

    Args:
        upstream: The engine; changed.
        prompt: The prompt.
        engine: What is known of such engines.
    """
    parts = upstream.parts
    for key, tokens in prompt.parts:
        parts[key] = tokens
        parts.move_to_end(key)
    held = sum(parts.values())
    while parts and held > engine.memory_tokens:
        held -= parts.popitem(last=False)[1]


def count_missing(upstream: Upstream, prompt: Prompt, home: bool) -> int:
    """Counts the tokens that an engine will have to read.

    Args:
        upstream: The engine.
        prompt: The prompt.
        home: Whether all routers send this prompt's shared part to it.

    Returns:
        Tokens, as far as this router can tell.
    """
    held = 0
    for key, tokens in prompt.parts:
        if key not in upstream.parts:
            break
        held += tokens
    if home:
        held = max(held, int(HOME_TRUST * prompt.shared))
    return prompt.tokens - held


def _list_homes(
    table: upstreams_module.UpstreamTable,
    service: str,
    key: str,
    usable: list[Upstream],
    uses: float,
) -> list[Upstream]:
    """Lists the engines that are to hold a part, the first choice first.

    All routers find the same ones, without a word between them. A part that
    is asked for often has several.
    """
    if not key:
        return []
    ranked = table.rankings.get((service, key))
    if ranked is None:
        if len(table.rankings) >= MOST_PARTS:
            table.rankings.clear()
        group = upstreams_module.list_upstreams(table, service)
        ranked = sorted(group, key=lambda one: _draw(key, one), reverse=True)
        table.rankings[service, key] = ranked
    count = 1 + int(uses / USES_PER_HOME)
    return list(itertools.islice((o for o in ranked if o in usable), count))


def _draw(key: str, upstream: Upstream) -> bytes:
    text = f"{key} {upstream.listed.address}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def choose_upstream(
    table: upstreams_module.UpstreamTable,
    now: float,
    service: catalog_module.Service,
    prompt: Prompt | None,
    time_left: float,
    tried: Collection[str],
    failure_domain: str,
    readiness: Readiness = Readiness.ON_TIME,
    uses: float = 0.0,
    anywhere: bool = False,
) -> Upstream | None:
    """Chooses the upstream that is to get a request now.

    Args:
        table: All upstreams.
        now: This process's time.
        service: The request's service.
        prompt: Its prompt, if it is for engines.
        time_left: Seconds until its answer is to begin. One that can't be on
            time anywhere goes to an engine that has little to do.
        tried: Upstreams that had it before.
        failure_domain: Where this router stands.
        readiness: How free an engine has to be.
        uses: How often the last shared part was asked for lately, at all
            routers.
        anywhere: Whether its shared part may be read again at any engine.

    Returns:
        The upstream, or None if the request has to wait.
    """
    group = upstreams_module.list_upstreams(table, service.name)
    usable = [
        one
        for one in group
        if one.listed.name not in tried and upstreams_module.is_usable(one, now)
    ]
    if prompt is None or service.engine is None:
        return _choose_plain(usable, now, failure_domain)
    homes = _list_homes(table, service.name, prompt.home_key, usable, uses)
    engine = service.engine
    limit = time_left - FIRST_STEP
    on_time = readiness is Readiness.ON_TIME
    costs = [
        (_weigh(one, now, prompt, engine, one in homes), one)
        for one in usable
        if _fits(one, prompt, engine)
        and (anywhere or one in homes or _is_cheap(one, prompt))
        and (
            _is_idle(one, engine)
            or (on_time and _read_wait(one, prompt, one in homes) <= limit)
        )
    ]
    return min(costs, key=lambda pair: pair[0], default=(0.0, None))[1]


def _choose_plain(
    usable: list[Upstream], now: float, failure_domain: str
) -> Upstream | None:
    def weigh(one: Upstream) -> float:
        queued = PLAIN_WORK * one.running / max(1, one.listed.slots)
        away = AWAY_COST * (one.listed.failure_domain != failure_domain)
        failing = upstreams_module.read_failure_rate(one, now)
        return queued + away + FAILURE_COST * failing

    room = [
        one for one in usable if one.running < PLAIN_QUEUE * one.listed.slots
    ]
    return min(room, key=weigh, default=None)


def _fits(one: Upstream, prompt: Prompt, engine: catalog_module.Engine) -> bool:
    """Tells whether an engine would run a request at once.

    Engines take whatever they are sent and know no order but that of
    arrival, so what waits must wait here, where teams are told apart.
    """
    if one.running >= engine.slots:
        return False
    memory = one.memory + prompt.tokens + prompt.output
    return not one.running or memory <= MEMORY_SHARE * engine.memory_tokens


def _is_cheap(one: Upstream, prompt: Prompt) -> bool:
    """Tells whether little of a prompt would be read again at an engine."""
    return _count_again(one, prompt, False) <= AGAIN_SHARE * prompt.own_work


def _count_again(one: Upstream, prompt: Prompt, home: bool) -> int:
    own = prompt.tokens - prompt.shared
    return max(0, count_missing(one, prompt, home) - own)


def _is_idle(one: Upstream, engine: catalog_module.Engine) -> bool:
    return (
        one.unread <= IDLE_QUEUE * one.reading_rate
        and one.running <= IDLE_BATCH * engine.slots
    )


def _read_wait(one: Upstream, prompt: Prompt, home: bool) -> float:
    """Estimates the seconds until an engine has read a prompt."""
    return (one.unread + count_missing(one, prompt, home)) / one.reading_rate


def _weigh(
    one: Upstream,
    now: float,
    prompt: Prompt,
    engine: catalog_module.Engine,
    home: bool,
) -> float:
    own = prompt.tokens - prompt.shared
    again = _count_again(one, prompt, home)
    reading = (one.unread + own + READ_AGAIN * again) / one.reading_rate
    crowd = CROWD_COST * one.running / engine.slots
    failing = upstreams_module.read_failure_rate(one, now)
    return reading + crowd + FAILURE_COST * failing
