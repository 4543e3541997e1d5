"""Selects the routers that read the platform for other routers; no I/O.

Each call to the platform costs money, and the rate of calls is limited. In each
failure domain two routers therefore act as readers: they read the platform and
forward what they learn to the other routers. There is no leader election: each
router ranks the routers that it hears and subscribes to the first two that
report that their reads succeed. Where the rankings of routers differ, one
reader more or fewer is active, and a router that receives nothing reads the
platform itself.
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

READERS_PER_DOMAIN = 2
"""Number of routers of a failure domain that read the platform. With a single
reader, its loss would leave the other routers without proof until they notice
the loss."""

RENEWAL_INTERVAL = 1.0
"""Seconds between two `Subscribe` messages of a subscription."""

SUBSCRIPTION_LEASE = 3.5
"""Seconds after the last `Subscribe` message at which a subscription ends."""

READER_SILENCE_TIMEOUT = 1.6
"""Seconds without a message after which a reader is excluded. Each of two
readers that take turns sends a message every 1.1 s."""

EXCLUSION_TIME = 3.0
"""Seconds for which a reader that is silent or can't read the platform is
excluded from the choice of readers."""


@dataclasses.dataclass(slots=True)
class Subscriber:
    """A router that subscribed to what this process learns.

    Attributes:
        process_incarnation: Incarnation of the subscriber's process.
        clock_offset: Lower bound of the subscriber's clock minus this process's
            clock, in seconds. The transit time of the `Subscribe` message makes
            it smaller than the true difference, never greater.
        heard_at: When its last `Subscribe` message arrived.
        changes_only: Whether it is sent a `ReaderState` message only when the
            revision changes, and not with each new proof.
    """

    process_incarnation: int
    clock_offset: float
    heard_at: float
    changes_only: bool


@dataclasses.dataclass(slots=True)
class Subscription:
    """A subscription of this router to another router.

    Attributes:
        since: When the subscription was created.
        sent_at: When the last `Subscribe` message was sent.
        heard_at: When the last `ReaderState` message arrived; the time of
            creation before the first one.
        changes_only: Whether `ReaderState` messages are requested only when the
            revision changes, and not with each new proof.
    """

    since: float
    sent_at: float
    heard_at: float
    changes_only: bool


@dataclasses.dataclass(slots=True)
class ReaderSelection:
    """Subscriptions of this router, and of other routers to it.

    Attributes:
        vm: Name of this router's VM.
        failure_domain: Failure domain of this router.
        subscribers: Routers that subscribed to this one, by VM name.
        subscriptions: Routers to which this one subscribes, by VM name, or by
            control address while the VM name is unknown.
        excluded_until: Times until which routers are not chosen as readers, by
            VM name.
    """

    vm: str
    failure_domain: str
    subscribers: dict[str, Subscriber] = dataclasses.field(default_factory=dict)
    subscriptions: dict[str, Subscription] = dataclasses.field(
        default_factory=dict
    )
    excluded_until: dict[str, float] = dataclasses.field(default_factory=dict)


def record_subscription(
    readers: ReaderSelection, now: float, envelope: messages.Envelope
) -> bool:
    """Adds or renews the sender's subscription to this router.

    A message from an earlier incarnation than the recorded one is ignored.

    Args:
        readers: Subscriptions of and to this router; changed.
        now: Current time of this process's clock.
        envelope: A `Subscribe` message and its sender.

    Returns:
        Whether the sender's incarnation wasn't a subscriber before.
    """
    subscribe: messages.Subscribe = envelope.message
    known = readers.subscribers.get(envelope.sender)
    if known is not None and known.process_incarnation > envelope.incarnation:
        return False
    readers.subscribers[envelope.sender] = Subscriber(
        envelope.incarnation, subscribe.clock - now, now, subscribe.changes_only
    )
    return known is None or known.process_incarnation < envelope.incarnation


def list_subscribers(
    readers: ReaderSelection, now: float
) -> list[tuple[str, Subscriber]]:
    """Removes subscribers whose lease has expired and lists the others."""
    readers.subscribers = {
        name: subscriber
        for name, subscriber in readers.subscribers.items()
        if now - subscriber.heard_at < SUBSCRIPTION_LEASE
    }
    return list(readers.subscribers.items())


def exclude_reader(readers: ReaderSelection, now: float, name: str) -> None:
    """Excludes a router from the choice of readers for `EXCLUSION_TIME`."""
    readers.excluded_until[name] = now + EXCLUSION_TIME


def choose_readers(
    readers: ReaderSelection,
    now: float,
    ranking: Mapping[str, Sequence[str]],
    can_read: bool,
) -> bool:
    """Chooses the readers and replaces this router's subscriptions by them.

    Args:
        readers: Subscriptions of and to this router; changed.
        now: Current time of this process's clock.
        ranking: Live routers that may act as readers, by failure domain, in
            order of preference; includes this router if it may act as one.
        can_read: Whether this router's own reads of the platform succeed.

    Returns:
        Whether this router is a reader.
    """
    _exclude_silent(readers, now)

    def is_usable(name: str) -> bool:
        if name == readers.vm:
            return can_read
        return readers.excluded_until.get(name, now) <= now

    local_ranking = ranking.get(readers.failure_domain, ())
    selected = [name for name in local_ranking if is_usable(name)][
        :READERS_PER_DOMAIN
    ]
    first_of_domains = [
        next(filter(is_usable, names), None)
        for domain, names in ranking.items()
        if domain != readers.failure_domain
    ]
    remote_readers = [name for name in first_of_domains if name is not None]
    if selected:
        is_reader = readers.vm in selected
        # A reader also learns of changes from the readers of other failure
        # domains, and need not read these changes from the platform itself.
        changes = remote_readers if is_reader else ()
        _replace_subscriptions(readers, now, selected, changes)
        return is_reader
    # No router of this failure domain can read the platform. The first ones of
    # the ranking keep their subscriptions, since readers retry failed reads
    # more often than other routers do.
    selected = [
        *local_ranking[:READERS_PER_DOMAIN],
        *_choose_by_hash(readers.vm, remote_readers),
    ]
    if selected:
        _replace_subscriptions(readers, now, selected, ())
    return readers.vm in selected


def _choose_by_hash(vm: str, names: Sequence[str]) -> list[str]:
    """Chooses `READERS_PER_DOMAIN` routers by a hash that differs by VM.

    The subscribers of a failure domain are thus spread over all the routers.
    """

    def hash_pair(name: str) -> bytes:
        return hashlib.blake2b(f"{vm} {name}".encode(), digest_size=8).digest()

    return sorted(names, key=hash_pair)[:READERS_PER_DOMAIN]


def _exclude_silent(readers: ReaderSelection, now: float) -> None:
    """Excludes readers that did not answer this router's subscriptions.

    Guards against a reader that can send but not receive, or whose process is
    frozen: without exclusion, each of its subscribers would read the platform
    itself from then on.
    """
    for name, subscription in readers.subscriptions.items():
        silent_for = now - max(subscription.since, subscription.heard_at)
        if (
            silent_for > READER_SILENCE_TIMEOUT
            and not subscription.changes_only
        ):
            exclude_reader(readers, now, name)


def _replace_subscriptions(
    readers: ReaderSelection,
    now: float,
    names: Collection[str],
    changes: Collection[str],
) -> None:
    """Replaces the subscriptions, and drops expired exclusions.

    Args:
        readers: Subscriptions of and to this router; changed. Existing
            subscriptions of the same kind are kept as they are.
        now: Current time of this process's clock.
        names: Routers to subscribe to in full. This router is left out.
        changes: Routers to subscribe to for changes only, unless they are
            among `names`.
    """
    requested = dict.fromkeys(changes, True) | dict.fromkeys(names, False)
    requested.pop(readers.vm, None)
    before = readers.subscriptions
    readers.subscriptions = {}
    for name, changes_only in requested.items():
        known = before.get(name)
        if known is None or known.changes_only != changes_only:
            known = Subscription(now, float("-inf"), now, changes_only)
        readers.subscriptions[name] = known
    readers.excluded_until = {
        name: until
        for name, until in readers.excluded_until.items()
        if until > now
    }


def find_next_due(readers: ReaderSelection) -> float:
    """Returns when the next subscription is due for renewal."""
    sent_times = (
        subscription.sent_at for subscription in readers.subscriptions.values()
    )
    return min(sent_times, default=float("inf")) + RENEWAL_INTERVAL


def renew_due_subscriptions(
    readers: ReaderSelection, now: float
) -> Iterator[tuple[str, bool]]:
    """Marks due subscriptions as renewed; the caller sends the messages.

    Args:
        readers: Subscriptions of and to this router; changed.
        now: Current time of this process's clock.

    Yields:
        The name or address of a router, and whether only changes are requested
        from it.
    """
    for name, subscription in readers.subscriptions.items():
        if now - subscription.sent_at >= RENEWAL_INTERVAL:
            subscription.sent_at = now
            yield name, subscription.changes_only
