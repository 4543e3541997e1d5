"""What routers that send directly tell each other of their load."""

__all__ = [
    "CrashReport",
    "CrashReports",
    "KnownRouters",
    "LoadScope",
    "RouterAddress",
    "RouterLoad",
    "SentPrompt",
    "ServiceDemand",
    "SuspectRecord",
    "TeamService",
    "UpstreamLoad",
]

import enum

import msgspec

from sycamorefall.messages.naming import Name


class LoadScope(enum.Enum):
    """Whose load a message tells.

    ROUTER: the sender's own; to the routers of its failure domain.
    DOMAIN: that of its failure domain, or of a part of it; to the delegates
        of the others.
    ELSEWHERE: that of all other failure domains; to routers of its own.
    """

    ROUTER = 0
    DOMAIN = 1
    ELSEWHERE = 2


class UpstreamLoad(msgspec.Struct, frozen=True, array_like=True):
    """What one router, or several together, have at an upstream.

    Attributes:
        upstream: The upstream's incarnation.
        running: Requests sent and not ended.
        unread: Prompt tokens of those that have not begun to answer.
        memory: Tokens of all of them, output included.
        floor: Least that a team received lately, of all routers, whose
            request waits there for this upstream; -1 if none does.
        short_floor: The same of teams that had a request refused lately.
    """

    upstream: Name
    running: int
    unread: int
    memory: int
    floor: int = -1
    short_floor: int = -1


class TeamService(msgspec.Struct, frozen=True, array_like=True):
    """What a team was given lately, in cost units."""

    team: Name
    amount: int


class ServiceDemand(msgspec.Struct, frozen=True, array_like=True):
    """A service as those routers see it.

    Attributes:
        service: The service.
        teams: What they gave its teams lately.
    """

    service: Name
    teams: tuple[TeamService, ...]


class RouterAddress(msgspec.Struct, frozen=True, array_like=True):
    """A router, and where it is reached.

    Attributes:
        vm: Its VM.
        control: Where its control messages go.
        failure_domain: Where it stands; empty if that isn't known.
        delegate: Whether it tells other failure domains of the load of its
            own.
    """

    vm: str
    control: str
    failure_domain: str = ""
    delegate: bool = False


class KnownRouters(msgspec.Struct, frozen=True, array_like=True, tag="o"):
    """A router tells another one whom it is to speak to.

    Hearsay: it names addresses, and says nothing of who lives.
    """

    routers: tuple[RouterAddress, ...]


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
    """What routers that send directly have at the upstreams.

    A later one replaces an earlier one, so loss and repetition do no harm;
    `sequence` tells which is later.

    Attributes:
        sequence: Grows with each message of the sender's incarnation.
        control: Where the sender takes control messages.
        routers: Other routers that it heard of.
        upstreams: The load, and what waits for them; what is left out has
            none.
        services: What was given.
        whole: Whether this is all; otherwise what is left out, but for the
            sequence, is as it was told before.
        prompts: Prompts sent since the last message whose shared parts are
            worth copying from engine to engine, as many as the budget of
            control traffic allows. Where a message is lost, the others know
            less of what engines hold.
        failure_domain: Where the sender stands; told in whole messages.
        capacity: Tenths of a processor core that it has.
        available: Whether it may do work for other routers: it is neither
            stopping nor overloaded.
        scope: Whose load this is.
        part: Which part of a failure domain, from 0.
        parts: In how many it is told.
        covers: Routers whose load this is.
    """

    sequence: int
    control: str
    routers: tuple[RouterAddress, ...] = ()
    upstreams: tuple[UpstreamLoad, ...] = ()
    services: tuple[ServiceDemand, ...] = ()
    whole: bool = True
    prompts: tuple[SentPrompt, ...] = ()
    failure_domain: Name = ""
    capacity: int = 0
    available: bool = True
    scope: LoadScope = LoadScope.ROUTER
    part: int = 0
    parts: int = 1
    covers: int = 1


class SuspectRecord(msgspec.Struct, frozen=True, array_like=True):
    """A request that was in progress at a crash.

    Attributes:
        fingerprint: The request's fingerprint.
        age: Seconds since its last crash, or its last arrival while
            quarantined, rounded up.
        cleared: Whether it has succeeded since.
    """

    fingerprint: bytes
    age: int
    cleared: bool = False


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """A crashed process of an upstream, and the requests in progress there.

    Attributes:
        upstream: The upstream's incarnation.
        born: When its process started; 0 if unknown.
        suspects: The requests.
    """

    upstream: Name
    born: int
    suspects: tuple[SuspectRecord, ...]


class CrashReports(msgspec.Struct, frozen=True, array_like=True, tag="x"):
    """Crash evidence of a router.

    Applying it is idempotent and commutative, so repeated or reordered messages
    have no effect. Later messages make up for lost ones.
    """

    reports: tuple[CrashReport, ...]
