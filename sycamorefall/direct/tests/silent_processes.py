"""What is true of upstreams' processes and of the requests of callers."""

import dataclasses
import math

from sycamorefall.direct import upstreams


@dataclasses.dataclass(eq=False)
class Process:
    """An upstream's process.

    Attributes:
        entry: Its entry in the platform's listing.
        listed: Whether the platform lists the entry.
        alive: Whether it will ever send again.
        resets: Whether its end is noticed by those who are connected.
        silent_until: Time until which it sends nothing.
        unlisted_at: When the entry of an ended process leaves the listing.
        heard_at: When the router last received bytes from it.
        back_at: When it last sent its first byte after a silence.
        runs: Its runs by the request's number.
    """

    entry: upstreams.UpstreamEntry
    listed: bool = True
    alive: bool = True
    resets: bool = False
    silent_until: float = 0.0
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
