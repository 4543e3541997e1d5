"""Which upstream gets a request.

An engine that has read the shared part of a prompt before need not read it
again, which is most of a long prompt's work. So requests with the same last
shared part go to the same engine, found by rendezvous hashing that all routers
compute alike, unless waiting there costs more than reading anew elsewhere.
"""

__all__ = [
    "Need",
    "Readiness",
    "choose_upstream",
    "count_missing",
    "note_prompt",
]

from collections.abc import Collection
import dataclasses
import enum
import hashlib
import itertools

from sycamorefall.direct import catalog as catalog_module
from sycamorefall.direct import prompts
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
class Need:
    """What a request needs of an upstream now.

    Attributes:
        prompt: What it asks of an engine, if it is for one.
        time_left: Seconds until its answer is to begin. One that can't be on
            time anywhere goes to an engine that has little to do.
        tried: Upstreams that had it before.
        readiness: How free an engine has to be.
        uses: How often its last shared part was asked for lately, at all
            routers.
        anywhere: Whether that part may be read again at any engine.
    """

    prompt: prompts.Prompt | None
    time_left: float
    tried: Collection[str] = ()
    readiness: Readiness = Readiness.ON_TIME
    uses: float = 0.0
    anywhere: bool = False


def note_prompt(
    upstream: Upstream, prompt: prompts.Prompt, engine: catalog_module.Engine
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


def count_missing(
    upstream: Upstream, prompt: prompts.Prompt, home: bool
) -> int:
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
        if len(table.rankings) >= prompts.MOST_PARTS:
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
    need: Need,
    failure_domain: str,
) -> Upstream | None:
    """Chooses the upstream that is to get a request now.

    Args:
        table: All upstreams.
        now: This process's time.
        service: The request's service.
        need: What the request needs.
        failure_domain: Where this router stands.

    Returns:
        The upstream, or None if the request has to wait.
    """
    group = upstreams_module.list_upstreams(table, service.name)
    usable = [
        one
        for one in group
        if one.listed.name not in need.tried
        and upstreams_module.is_usable(one, now)
    ]
    if need.prompt is None or service.engine is None:
        return _choose_plain(usable, now, failure_domain)
    return _choose_engine(table, now, service, need, usable)


def _choose_engine(
    table: upstreams_module.UpstreamTable,
    now: float,
    service: catalog_module.Service,
    need: Need,
    usable: list[Upstream],
) -> Upstream | None:
    prompt, engine = need.prompt, service.engine
    homes = _list_homes(table, service.name, prompt.home_key, usable, need.uses)
    limit = need.time_left - FIRST_STEP
    on_time = need.readiness is Readiness.ON_TIME
    costs = [
        (_weigh(one, now, prompt, engine, one in homes), one)
        for one in usable
        if _fits(one, prompt, engine)
        and (need.anywhere or one in homes or _is_cheap(one, prompt))
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


def _fits(
    one: Upstream, prompt: prompts.Prompt, engine: catalog_module.Engine
) -> bool:
    """Tells whether an engine would run a request at once.

    Engines take whatever they are sent and know no order but that of
    arrival, so what waits must wait here, where teams are told apart.
    """
    if one.running >= engine.slots:
        return False
    memory = one.memory + prompt.tokens + prompt.output
    return not one.running or memory <= MEMORY_SHARE * engine.memory_tokens


def _is_cheap(one: Upstream, prompt: prompts.Prompt) -> bool:
    """Tells whether little of a prompt would be read again at an engine."""
    return _count_again(one, prompt, False) <= AGAIN_SHARE * prompt.own_work


def _count_again(one: Upstream, prompt: prompts.Prompt, home: bool) -> int:
    own = prompt.tokens - prompt.shared
    return max(0, count_missing(one, prompt, home) - own)


def _is_idle(one: Upstream, engine: catalog_module.Engine) -> bool:
    return (
        one.unread <= IDLE_QUEUE * one.reading_rate
        and one.running <= IDLE_BATCH * engine.slots
    )


def _read_wait(one: Upstream, prompt: prompts.Prompt, home: bool) -> float:
    """Estimates the seconds until an engine has read a prompt."""
    return (one.unread + count_missing(one, prompt, home)) / one.reading_rate


def _weigh(
    one: Upstream,
    now: float,
    prompt: prompts.Prompt,
    engine: catalog_module.Engine,
    home: bool,
) -> float:
    own = prompt.tokens - prompt.shared
    again = _count_again(one, prompt, home)
    reading = (one.unread + own + READ_AGAIN * again) / one.reading_rate
    crowd = CROWD_COST * one.running / engine.slots
    failing = upstreams_module.read_failure_rate(one, now)
    return reading + crowd + FAILURE_COST * failing
