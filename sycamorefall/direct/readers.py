"""Which routers read the platform for which others; no I/O.

Each call of the platform is paid for and its rate is bounded, so of a failure
domain two routers read and tell the others. Nobody appoints them: each router
ranks those that it hears, and subscribes with the first two that say that
their reads succeed. Where views differ, one more router reads or one fewer,
and a router that is told nothing reads for itself.
"""

__all__ = [
    "ReaderSelection",
    "Subscriber",
    "Subscription",
    "choose_readers",
    "exclude_reader",
    "find_next_due",
    "list_subscribers",
    "record_subscription",
    "renew_due_subscriptions",
]

from collections.abc import Collection, Iterator, Mapping, Sequence
import dataclasses
import hashlib

from sycamorefall import messages

READERS = 2
"""Routers of a failure domain that read for the others. With one, its loss
would leave the others without proof until that is known."""

SUBSCRIBE_INTERVAL = 1.0
"""Seconds after which a subscription is repeated."""

LEASE = 3.5
"""Seconds after which one that isn't repeated ends."""

SILENCE = 1.6
"""Seconds after which a reader that said nothing is passed over. One of two
that take turns says something each 1.1 s."""

BAR_TIME = 3.0
"""Seconds for which a reader that is silent or can't read is passed over."""


@dataclasses.dataclass(slots=True)
class Subscriber:
    """A router that wants to be told.

    Attributes:
        process: Its incarnation.
        offset: Its clock less this process's, or less than that. The way of
            the message that showed it makes it smaller, never greater.
        heard_at: When it last asked.
        changes_only: Whether it wants to be told of changes only.
    """

    process: int
    offset: float
    heard_at: float
    changes_only: bool


@dataclasses.dataclass(slots=True)
class Subscription:
    """A router that is asked to tell.

    Attributes:
        since: When it was first asked.
        sent_at: When it was last asked.
        heard_at: When it last told anything.
        changes_only: Whether it is to tell of changes only.
    """

    since: float
    sent_at: float
    heard_at: float
    changes_only: bool


@dataclasses.dataclass(slots=True)
class ReaderSelection:
    """Who reads for this router, and for whom it reads.

    Attributes:
        vm: This router.
        failure_domain: Where it stands.
        subscribers: Who wants to be told, by VM name.
        subscriptions: Who is asked, by VM name, or by address where that is
            all that is known.
        barred: Until when routers are passed over, by VM name.
    """

    vm: str
    failure_domain: str
    subscribers: dict[str, Subscriber] = dataclasses.field(default_factory=dict)
    subscriptions: dict[str, Subscription] = dataclasses.field(
        default_factory=dict
    )
    barred: dict[str, float] = dataclasses.field(default_factory=dict)


def record_subscription(
    readers: ReaderSelection, now: float, envelope: messages.Envelope
) -> bool:
    """Takes note of a subscription.

    Args:
        readers: Who reads for whom; changed.
        now: This process's time.
        envelope: A `Subscribe` and its sender.

    Returns:
        Whether the sender's process wasn't a subscriber before.
    """
    asked: messages.Subscribe = envelope.message
    known = readers.subscribers.get(envelope.sender)
    if known is not None and known.process > envelope.incarnation:
        return False
    readers.subscribers[envelope.sender] = Subscriber(
        envelope.incarnation, asked.clock - now, now, asked.changes_only
    )
    return known is None or known.process < envelope.incarnation


def list_subscribers(
    readers: ReaderSelection, now: float
) -> list[tuple[str, Subscriber]]:
    """Lists who is to be told; forgets those whose lease has ended."""
    readers.subscribers = {
        name: one
        for name, one in readers.subscribers.items()
        if now - one.heard_at < LEASE
    }
    return list(readers.subscribers.items())


def exclude_reader(readers: ReaderSelection, now: float, name: str) -> None:
    """Passes a router over for a while that can't read or says nothing."""
    readers.barred[name] = now + BAR_TIME


def choose_readers(
    readers: ReaderSelection,
    now: float,
    ranking: Mapping[str, Sequence[str]],
    able: bool,
) -> bool:
    """Chooses who is asked to tell what the platform shows.

    Args:
        readers: Who reads for whom; changed.
        now: This process's time.
        ranking: Routers that are heard and may read for others, by failure
            domain, the first choice first; this one among them if it may.
        able: Whether this router's own reads succeed.

    Returns:
        Whether this router reads for others.
    """
    _bar_silent(readers, now)

    def is_able(name: str) -> bool:
        if name == readers.vm:
            return able
        return readers.barred.get(name, now) <= now

    own = ranking.get(readers.failure_domain, ())
    first = [name for name in own if is_able(name)][:READERS]
    elsewhere = [
        next(filter(is_able, names), None)
        for domain, names in ranking.items()
        if domain != readers.failure_domain
    ]
    others = [name for name in elsewhere if name is not None]
    if first:
        is_reader = readers.vm in first
        # Those elsewhere tell of changes, which then needn't be read here.
        changes = others if is_reader else ()
        _keep_only(readers, now, first, changes)
        return is_reader
    # Nobody here can read. The first ones are asked still, as they try more
    # often than all others.
    first = [*own[:READERS], *_pick(readers.vm, others)]
    if first:
        _keep_only(readers, now, first, ())
    return readers.vm in first


def _pick(vm: str, names: Sequence[str]) -> list[str]:
    """Picks a few routers, other ones for each asker."""

    def draw(name: str) -> bytes:
        return hashlib.blake2b(f"{vm} {name}".encode(), digest_size=8).digest()

    return sorted(names, key=draw)[:READERS]


def _bar_silent(readers: ReaderSelection, now: float) -> None:
    """Passes over readers that were asked and said nothing.

    Guards against one that is heard and can't hear, or whose process stands
    still: its subscribers would each read for themselves from then on.
    """
    for name, one in readers.subscriptions.items():
        waited = now - max(one.since, one.heard_at)
        if waited > SILENCE and not one.changes_only:
            exclude_reader(readers, now, name)


def _keep_only(
    readers: ReaderSelection,
    now: float,
    names: Collection[str],
    changes: Collection[str],
) -> None:
    """Subscribes with some routers and no others."""
    wanted = dict.fromkeys(changes, True) | dict.fromkeys(names, False)
    wanted.pop(readers.vm, None)
    before = readers.subscriptions
    readers.subscriptions = {}
    for name, changes_only in wanted.items():
        known = before.get(name)
        if known is None or known.changes_only != changes_only:
            known = Subscription(now, float("-inf"), now, changes_only)
        readers.subscriptions[name] = known
    readers.barred = {
        name: until for name, until in readers.barred.items() if until > now
    }


def find_next_due(readers: ReaderSelection) -> float:
    """Tells when `renew_due_subscriptions` has somebody to ask next."""
    asked = (one.sent_at for one in readers.subscriptions.values())
    return min(asked, default=float("inf")) + SUBSCRIBE_INTERVAL


def renew_due_subscriptions(
    readers: ReaderSelection, now: float
) -> Iterator[tuple[str, bool]]:
    """Tells who is to be asked now.

    Args:
        readers: Who reads for whom; changed.
        now: This process's time.

    Yields:
        The router, and whether it is to tell of changes only.
    """
    for name, one in readers.subscriptions.items():
        if now - one.sent_at >= SUBSCRIBE_INTERVAL:
            one.sent_at = now
            yield name, one.changes_only
