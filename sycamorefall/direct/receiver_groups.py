"""Groups of receivers: loads they were sent, and when the next message is due.

All receivers of a group get the same messages.
"""

__all__ = [
    "URGENT_UNREAD_TOKENS",
    "ReceiverGroup",
    "compute_next_due",
    "queue_prompts",
    "start_message",
    "take_changed_loads",
]

from collections.abc import Iterable, Mapping
import dataclasses

from sycamorefall import messages

URGENT_UNREAD_TOKENS = 1500
"""Prompt tokens sent to engines since the last message at which a delta is sent
ahead of the next full update: 10 to 20 ms of an engine's time."""

MAX_QUEUED_PROMPTS = 200
"""Prompts queued for the next message; beyond this, the oldest are dropped."""


@dataclasses.dataclass(slots=True)
class ReceiverGroup:
    """State of sending load messages to a group of receivers.

    Attributes:
        sent_at: When the last message was sent.
        due: When the next full update is due.
        full_update_count: Number of full updates sent.
        sent_loads: Last load sent, by upstream name.
        unread: Total prompt tokens sent to engines up to the last message.
        prompts: Prompts to be sent with the next message.
    """

    sent_at: float = 0.0
    due: float = 0.0
    full_update_count: int = 0
    sent_loads: dict[str, messages.UpstreamLoad] = dataclasses.field(
        default_factory=dict
    )
    unread: int = 0
    prompts: list[messages.SentPrompt] = dataclasses.field(default_factory=list)


def compute_next_due(
    group: ReceiverGroup, unread: int, spacing: float
) -> float:
    """Computes when the next message is due.

    Full updates are sent at intervals. A delta is sent in between as soon as
    many prompt tokens were sent to engines: otherwise other routers would send
    to the same engines within the interval, and all responses would be late.

    Args:
        group: The group of receivers.
        unread: Total prompt tokens sent to engines so far.
        spacing: Minimum seconds between two messages.
    """
    if unread - group.unread < URGENT_UNREAD_TOKENS:
        return group.due
    return min(group.due, group.sent_at + spacing)


def take_changed_loads(
    group: ReceiverGroup, loads: Mapping[str, messages.UpstreamLoad]
) -> tuple[messages.UpstreamLoad, ...]:
    """Lists the loads that differ from those sent last; marks them as sent.

    Args:
        group: The group of receivers; changed.
        loads: The loads by upstream name; a missing one counts as no load.

    Example:
        >>> group = ReceiverGroup()
        >>> one = messages.UpstreamLoad("e1", 1, 10, 100)
        >>> len(take_changed_loads(group, {"e1": one}))
        1
        >>> take_changed_loads(group, {"e1": one})
        ()
        >>> take_changed_loads(group, {})[0].running
        0
    """
    changed = [
        load
        for name in group.sent_loads.keys() | loads.keys()
        if (load := loads.get(name) or messages.UpstreamLoad(name, 0, 0, 0))
        != group.sent_loads.get(name)
    ]
    group.sent_loads |= {load.upstream: load for load in changed}
    return tuple(changed)


def queue_prompts(
    group: ReceiverGroup, prompts: Iterable[messages.SentPrompt]
) -> None:
    """Queues prompts for the next message."""
    group.prompts += prompts
    del group.prompts[:-MAX_QUEUED_PROMPTS]


def start_message(
    group: ReceiverGroup, now: float, unread: int
) -> tuple[messages.SentPrompt, ...]:
    """Records that a message is sent now, and empties the prompt queue.

    Args:
        group: The group of receivers; changed.
        now: Current time of this process's clock.
        unread: Total prompt tokens sent to engines so far.

    Returns:
        The prompts to be included in the message.
    """
    group.sent_at, group.unread = now, unread
    prompts, group.prompts = group.prompts, []
    return tuple(prompts)
