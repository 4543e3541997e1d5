"""What routers that send directly tell each other of their load."""

__all__ = [
    "RouterAddress",
    "RouterLoad",
    "SentPrompt",
    "ServiceDemand",
    "TeamService",
    "UpstreamLoad",
]

import msgspec

from sycamorefall.messages.naming import Name


class UpstreamLoad(msgspec.Struct, frozen=True, array_like=True):
    """What one router has at an upstream.

    Attributes:
        upstream: The upstream's incarnation.
        running: Requests sent and not ended.
        unread: Prompt tokens of those that have not begun to answer.
        memory: Tokens of all of them, output included.
        floor: Least that a team received lately, of all routers, whose
            request waits there for this upstream; -1 if none does.
    """

    upstream: Name
    running: int
    unread: int
    memory: int
    floor: int = -1


class TeamService(msgspec.Struct, frozen=True, array_like=True):
    """What a router gave a team lately, in cost units."""

    team: Name
    amount: int


class ServiceDemand(msgspec.Struct, frozen=True, array_like=True):
    """A service as one router sees it.

    Attributes:
        service: The service.
        teams: What the router gave its teams lately.
    """

    service: Name
    teams: tuple[TeamService, ...]


class RouterAddress(msgspec.Struct, frozen=True, array_like=True):
    """A router and the address that its control messages go to."""

    vm: str
    control: str


class SentPrompt(msgspec.Struct, frozen=True, array_like=True):
    """A prompt that a router sent to an engine.

    Attributes:
        upstream: The engine's incarnation.
        parts: Digests of the prompt's shared parts in order, with their
            tokens.
        own: Tokens that no other request shares.
    """

    upstream: Name
    parts: tuple[tuple[int, int], ...]
    own: int


class RouterLoad(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """What a router that sends directly has at the upstreams.

    A later one replaces an earlier one, so loss and repetition do no harm;
    `sequence` tells which is later.

    Attributes:
        sequence: Grows with each message of the sender's incarnation.
        control: Where the sender takes control messages.
        routers: Other routers that it heard of.
        upstreams: Its load, and what waits for them; what is left out has
            none.
        services: What it gave.
        whole: Whether this is all; otherwise what is left out, but for the
            sequence, is as it was told before.
        prompts: Prompts sent since the last message whose shared parts are
            worth copying from engine to engine, as many as the budget of
            control traffic allows. Where a message is lost, the others know
            less of what engines hold.
    """

    sequence: int
    control: str
    routers: tuple[RouterAddress, ...] = ()
    upstreams: tuple[UpstreamLoad, ...] = ()
    services: tuple[ServiceDemand, ...] = ()
    whole: bool = True
    prompts: tuple[SentPrompt, ...] = ()
