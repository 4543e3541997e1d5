"""Processes, requests and configurations of a world of silent upstreams."""

import dataclasses
import math

from sycamorefall.direct import catalog, upstreams
from sycamorefall.direct.tests import fakes

STREAM_TIMEOUT = 12.0
"""Timeout in seconds of the streaming routes, longer than any silence."""

STREAM_TARGET = 10.0
"""Target latency in seconds of the streaming routes: requests wait for up to
half of their time."""


@dataclasses.dataclass(eq=False)
class Process:
    """An upstream's process.

    Attributes:
        entry: Its entry in the platform's listing.
        listed: Whether the platform lists the entry.
        alive: Whether it will ever send again.
        resets: Whether its end is noticed by those who are connected.
        silent_until: Time until which it sends nothing.
        frozen: Whether it doesn't renew its entry until it sends again.
        unlisted_at: When its entry leaves the listing unless it is renewed.
        heard_at: When the router last received bytes from it.
        back_at: When it last sent its first byte after a silence.
        was_silent: Whether it has sent no byte since its latest silence.
        runs: Its runs by the request's number.
    """

    entry: upstreams.UpstreamEntry
    listed: bool = True
    alive: bool = True
    resets: bool = False
    silent_until: float = 0.0
    frozen: bool = False
    unlisted_at: float = math.inf
    heard_at: float = 0.0
    back_at: float = -math.inf
    was_silent: bool = False
    runs: dict[int, "Run"] = dataclasses.field(default_factory=dict)

    @property
    def name(self):
        return self.entry.name

    def sends(self, now):
        return self.alive and now >= self.silent_until


@dataclasses.dataclass(eq=False)
class Run:
    """A request at a process, with the seconds of work that are left."""

    work: float
    next_event_at: float


@dataclasses.dataclass(eq=False)
class Send:
    """A send of a request by the router.

    Attributes:
        process: The process that the router chose.
        at: Time of the send.
        fate: How it ends at the next step if it doesn't run.
        end: How it ended; "silent" if the router let it go while the run was
            not known to be gone, "gone" if it was; None before.
    """

    process: Process
    at: float
    fate: object = None
    end: object = None


@dataclasses.dataclass(eq=False)
class Call:
    """A caller's request."""

    number: int
    route: str
    team: str
    service: str
    deadline: float
    work: float
    sends: list[Send] = dataclasses.field(default_factory=list)
    begun: bool = False

    @property
    def current(self):
        """The send whose run the router waits for; None if there is none."""
        if self.sends and self.sends[-1].end is None:
            return self.sends[-1]
        return None


def create_catalog(version, keys, service_names):
    """Creates a catalog whose streams outlast silences, with some services."""
    plain = fakes.create_catalog(version, keys)
    routes = [
        dataclasses.replace(
            route, timeout=STREAM_TIMEOUT, target_latency=STREAM_TARGET
        )
        if route.kind.streamed
        else route
        for by_prefix in plain.routes.values()
        for route in by_prefix.values()
        if route.shares[0].service in service_names
    ]
    services = [plain.services[name] for name in service_names]
    return catalog.create_catalog(
        version, routes, services, plain.teams, True, plain.tokens_per_second
    )
