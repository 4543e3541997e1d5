"""Messages about load and crashes, between routers of `sycamorefall.direct`.

These routers send requests to upstreams directly, without sidecars.
"""

__all__ = [
    "CrashReport",
    "CrashReports",
    "KnownRouters",
    "LoadScope",
    "RouterAddress",
    "RouterLoad",
    "SentPrompt",
    "ServiceDemand",
    "SumKind",
    "SumRow",
    "SumTable",
    "SuspectRecord",
    "TeamService",
    "UpstreamLoad",
]

import enum

import msgspec

from sycamorefall.messages.naming import Name
from sycamorefall.messages.numbers import Amount


class LoadScope(enum.Enum):
    """Routers whose load a message reports, and its receivers.

    ROUTER: the sender; sent to the routers of its failure domain.
    DOMAIN: the sender's failure domain, or a part of it; sent to the delegates
        of the other failure domains.
    ELSEWHERE: all other failure domains; sent to the routers of the sender's
        failure domain.
    """

    ROUTER = 0
    DOMAIN = 1
    ELSEWHERE = 2


class UpstreamLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of one or more routers at an upstream.

    Attributes:
        upstream: Incarnation of the upstream.
        running: Number of requests sent to it that have not ended.
        unread: Prompt tokens of those requests whose response has not begun.
        memory: Tokens of all those requests, including expected output.
        floor: Least service, in cost units recently received from all routers,
            of any team that waits at these routers for the upstream; -1 if no
            team waits.
        short_floor: Like `floor`, but only of teams that recently had a request
            refused.
    """

    upstream: Name
    running: Amount
    unread: Amount
    memory: Amount
    floor: Amount = -1
    short_floor: Amount = -1


class TeamService(msgspec.Struct, frozen=True, array_like=True):
    """Service that a team recently received, and what it was refused.

    Attributes:
        team: Name of the team.
        amount: The service in cost units.
        unmet: Cost units of requests that were recently refused for lack of
            capacity.
    """

    team: Name
    amount: Amount
    unmet: Amount = 0


class ServiceDemand(msgspec.Struct, frozen=True, array_like=True):
    """Service that teams recently received from an upstream service.

    Attributes:
        service: Name of the upstream service.
        teams: What the reporting routers gave to each team.
    """

    service: Name
    teams: tuple[TeamService, ...]


class RouterAddress(msgspec.Struct, frozen=True, array_like=True):
    """Address and failure domain of a router.

    Attributes:
        vm: VM name of the router.
        control: Address at which it receives control messages.
        failure_domain: Its failure domain; empty if unknown.
        delegate: Whether it is a delegate of its failure domain, which reports
            the load of the domain to other failure domains.
    """

    vm: str
    control: str
    failure_domain: str = ""
    delegate: bool = False


class KnownRouters(msgspec.Struct, frozen=True, array_like=True, tag="o"):
    """A referral: names routers with which the receiver should exchange load.

    It provides only addresses. The receiver must not conclude that the named
    routers are alive.

    Attributes:
        routers: The routers.
    """

    routers: tuple[RouterAddress, ...]


class SentPrompt(msgspec.Struct, frozen=True, array_like=True):
    """A prompt that a router sent to an engine.

    Attributes:
        upstream: Incarnation of the engine.
        parts: Digest and token count of each of the prompt's shared parts, in
            order.
        own: Number of tokens that are not shared with other requests.
    """

    upstream: Name
    parts: tuple[tuple[Amount, Amount], ...]
    own: Amount


class SumKind(enum.IntEnum):
    """What the values of a table of sums count.

    UPSTREAM_SPEED: how long work takes at upstreams; rows are upstreams.
    """

    UPSTREAM_SPEED = 0


class SumRow(msgspec.Struct, frozen=True, array_like=True):
    """One row of a table of sums.

    Attributes:
        name: Name of what the row is about, such as an upstream.
        values: The row's values. Those of several routers are added up.
    """

    name: Name
    values: tuple[Amount, ...]


class SumTable(msgspec.Struct, frozen=True, array_like=True):
    """Values of one or more routers about one service, added up by row.

    Attributes:
        kind: A `SumKind`. A receiver ignores a kind that it doesn't know, so
            the field isn't decoded as an enumeration.
        service: Name of the service.
        rows: The rows; a row that is missing has zeros only.
    """

    kind: Amount
    service: Name
    rows: tuple[SumRow, ...]


class RouterLoad(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """Load and team usage of one or more routers: a full update or a delta.

    A full update replaces earlier messages, so lost and repeated messages do no
    lasting harm. Their order is determined by `sequence`.

    Attributes:
        sequence: Sequence number, which grows with each message of the sender's
            process.
        control: Address at which the sender receives control messages; empty in
            a delta.
        routers: Other routers that the sender knows.
        upstreams: Load at upstreams, and floors of the teams that wait for
            them. In a full update, an upstream that is missing has neither.
        services: Service that teams recently received.
        whole: Whether the message is a full update. In a delta, everything that
            is missing, except `sequence`, is as reported before.
        prompts: Prompts sent since the last message whose shared parts are
            worth copying between engines, as many as the budget for control
            traffic allows. If a message is lost, the receiver has a less
            complete estimate of the engines' caches.
        failure_domain: Failure domain of the sender; only in full updates.
        capacity: Processor capacity of the sender, in tenths of a core.
        available: Whether the sender can do work for other routers, that is, it
            is neither stopping nor overloaded.
        scope: Routers whose load is reported.
        part: Number of the reported part of a failure domain, from 0.
        parts: Number of parts in which the failure domain is reported.
        covers: Number of routers whose load is included.
        tables: Further sums of these routers; only in full updates.
        sent_ms: Time of the sender's clock in milliseconds, from which the
            receiver tells how long the message was on its way; 0 if unknown.
    """

    sequence: Amount
    control: str
    routers: tuple[RouterAddress, ...] = ()
    upstreams: tuple[UpstreamLoad, ...] = ()
    services: tuple[ServiceDemand, ...] = ()
    whole: bool = True
    prompts: tuple[SentPrompt, ...] = ()
    failure_domain: Name = ""
    capacity: Amount = 0
    available: bool = True
    scope: LoadScope = LoadScope.ROUTER
    part: Amount = 0
    parts: Amount = 1
    covers: Amount = 1
    tables: tuple[SumTable, ...] = ()
    sent_ms: Amount = 0


class SuspectRecord(msgspec.Struct, frozen=True, array_like=True):
    """A request, or a part of a prompt, that was present at a crash.

    Attributes:
        fingerprint: Fingerprint of the request or part.
        age: Seconds since the last crash at which it was present, or since a
            request's last arrival while quarantined, rounded up.
        cleared: Whether it has succeeded since then.
        sources: For a part, digests of requests through which it was present,
            joined.
        answered: For a part, whether an upstream has ever answered on it.
        tried: For a part, whether a trial of it ended with a crash; see
            `direct.evidence`.
    """

    fingerprint: bytes
    age: Amount
    cleared: bool = False
    sources: bytes = b""
    answered: bool = False
    tried: Amount = 0


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """A crashed process of an upstream, and the requests in progress there.

    Attributes:
        upstream: Incarnation of the upstream.
        born: When the crashed process started; 0 if unknown.
        suspects: The requests in progress at the crash.
    """

    upstream: Name
    born: Amount
    suspects: tuple[SuspectRecord, ...]


class CrashReports(msgspec.Struct, frozen=True, array_like=True, tag="x"):
    """Crash reports of a router.

    Applying them is idempotent and commutative, so repeated or reordered
    messages have no effect. Later messages make up for lost ones.

    Attributes:
        reports: The crash reports.
    """

    reports: tuple[CrashReport, ...]
