"""What a set of receivers was told of loads, and when to tell them more."""

__all__ = [
    "LARGE_READ",
    "ReceiverGroup",
    "begin_message",
    "diff_loads",
    "find_due",
    "queue_prompts",
]

from collections.abc import Iterable, Mapping
import dataclasses

from sycamorefall import messages

LARGE_READ = 1500
"""Prompt tokens sent since the last message from which on the others are told
at once: 10 to 20 ms of an engine's time."""

MOST_QUEUED = 200
"""Prompts that wait to be told; of more the oldest are dropped."""


@dataclasses.dataclass(slots=True)
class ReceiverGroup:
    """What a set of receivers was told.

    Attributes:
        sent_at: When they were last told anything.
        due: When they are told all.
        whole_sent: How often they were told all.
        told: What they were told of each upstream.
        unread: Prompt tokens that were sent to be read until then.
        prompts: Prompts to be told with the next message.
    """

    sent_at: float = 0.0
    due: float = 0.0
    whole_sent: int = 0
    told: dict[str, messages.UpstreamLoad] = dataclasses.field(
        default_factory=dict
    )
    unread: int = 0
    prompts: list[messages.SentPrompt] = dataclasses.field(default_factory=list)


def find_due(outlet: ReceiverGroup, unread: int, pace: float) -> float:
    """Tells when the next message is due.

    Whole messages go out at fixed intervals. In between, only what changed
    goes out, as soon as much was sent to be read: the others would add to it
    within the interval, and the answers of all would be late.

    Args:
        outlet: The receivers.
        unread: Prompt tokens sent to be read so far.
        pace: Least seconds between two messages.
    """
    if unread - outlet.unread < LARGE_READ:
        return outlet.due
    return min(outlet.due, outlet.sent_at + pace)


def diff_loads(
    outlet: ReceiverGroup, loads: Mapping[str, messages.UpstreamLoad]
) -> tuple[messages.UpstreamLoad, ...]:
    """Lists the loads that differ from what was told, and notes them as told.

    Args:
        outlet: The receivers; changed.
        loads: The loads by upstream; what is left out is none.

    Example:
        >>> outlet = ReceiverGroup()
        >>> one = messages.UpstreamLoad("e1", 1, 10, 100)
        >>> len(diff_loads(outlet, {"e1": one}))
        1
        >>> diff_loads(outlet, {"e1": one})
        ()
        >>> diff_loads(outlet, {})[0].running
        0
    """
    changed = [
        load
        for name in outlet.told.keys() | loads.keys()
        if (load := loads.get(name) or messages.UpstreamLoad(name, 0, 0, 0))
        != outlet.told.get(name)
    ]
    outlet.told |= {load.upstream: load for load in changed}
    return tuple(changed)


def queue_prompts(
    outlet: ReceiverGroup, prompts: Iterable[messages.SentPrompt]
) -> None:
    """Adds prompts to be told with the next message."""
    outlet.prompts += prompts
    del outlet.prompts[:-MOST_QUEUED]


def begin_message(
    outlet: ReceiverGroup, now: float, unread: int
) -> tuple[messages.SentPrompt, ...]:
    """Takes note that the receivers are told now.

    Args:
        outlet: The receivers; changed.
        now: This process's time.
        unread: Prompt tokens sent to be read so far.

    Returns:
        The prompts that the message is to tell.
    """
    outlet.sent_at, outlet.unread = now, unread
    prompts, outlet.prompts = outlet.prompts, []
    return tuple(prompts)
