"""Keeps a process's replica of the platform's records up to date."""

__all__ = [
    "RecordSource",
    "Replicator",
    "create_replicator",
]

import collections
from collections.abc import Callable, Iterable
from typing import Protocol

from sycamorefall import messages, observation, transport
from sycamorefall.direct import (
    read_schedule,
    readers,
    records,
    replica,
)


class RecordSource(Protocol):
    """Reads the platform and brings what it publishes into force."""

    def start_read(self, kind: read_schedule.ReadKind) -> None:
        """Sends a read; its end is told to the `Replicator`."""

    def cancel_read(self) -> None:
        """Gives up the read in progress."""

    def apply_records(self, known: records.Records) -> None:
        """Brings records into force, as far as they are new."""


class Replicator:
    """Carries out what the replica decides.

    Attributes:
        replica: The records and how they are kept.
        source: Reads the platform.
        reads: How many reads ended, by kind and how.
    """

    __slots__ = (
        "_is_reachable",
        "_prove",
        "_rank_routers",
        "_tell",
        "reads",
        "replica",
        "source",
    )

    def __init__(
        self,
        kept: replica.Replica,
        rank_routers: replica.RankRouters,
        tell: Callable[[Iterable[str], messages.Message], None],
        prove: Callable[[float], None],
    ):
        """Creates the keeper of a replica, still without its source.

        Args:
            kept: The replica.
            rank_routers: Lists the routers that are heard.
            tell: Sends a control message to some routers.
            prove: Called with each time at which what is in force was the
                newest for certain.
        """
        self.replica = kept
        self.source: RecordSource | None = None
        self.reads: collections.Counter[tuple[str, str]] = collections.Counter()
        self._rank_routers = rank_routers
        self._tell = tell
        self._prove = prove
        self._is_reachable = True

    def find_next_due(self) -> float:
        """Tells when `run` has something to do next."""
        return replica.find_next_due(self.replica)

    def run(self, now: float) -> None:
        """Sends what is due and gives up late reads."""
        if read_schedule.is_read_expired(self.replica.read_schedule, now):
            self._note_lost("timeout")
        done = replica.run_timers(self.replica, now, self._rank_routers)
        self._perform(done)

    def receive(self, envelope: messages.Envelope) -> None:
        """Takes what another router asks or tells."""
        now = transport.read_clock()
        self._perform(replica.receive_message(self.replica, now, envelope))

    def extend_read(self) -> None:
        """Takes note that a part of the answer has come."""
        read_schedule.extend_read(
            self.replica.read_schedule, transport.read_clock()
        )

    def receive_probe(self, revision: int) -> None:
        """Takes the platform's revision that was read."""
        self._note_regained(read_schedule.ReadKind.PROBE)
        now = transport.read_clock()
        self._perform(replica.handle_probe(self.replica, now, revision))

    def receive_snapshot(
        self, revision: int, listed: Iterable[messages.Record]
    ) -> None:
        """Takes all records that were read, as of a revision."""
        self._note_regained(read_schedule.ReadKind.SNAPSHOT)
        now = transport.read_clock()
        done = replica.handle_snapshot(self.replica, now, revision, listed)
        self._perform(done)

    def receive_failure(self, reason: str) -> None:
        """Takes note of a read that gave nothing."""
        self._note_lost(reason)
        now = transport.read_clock()
        self._perform(replica.handle_read_failure(self.replica, now))

    def _perform(self, done: Iterable[replica.Effect]) -> None:
        for effect in done:
            match effect:
                case replica.StartRead(kind):
                    self.source.start_read(kind)
                case replica.CancelRead():
                    self.source.cancel_read()
                case replica.SendMessage(to, message):
                    self._tell((to,), message)
                case replica.ApplyRecords():
                    self.source.apply_records(self.replica.records)
                case replica.RecordProof(proven_at):
                    self._prove(proven_at)

    def _note_lost(self, reason: str) -> None:
        self.reads[self.replica.read_schedule.read.value, "failed"] += 1
        if self._is_reachable:
            self._is_reachable = False
            observation.write_record(
                observation.Level.WARNING, "platform.lost", reason=reason
            )

    def _note_regained(self, kind: read_schedule.ReadKind) -> None:
        self.reads[kind.value, "answered"] += 1
        if not self._is_reachable:
            self._is_reachable = True
            observation.write_record(
                observation.Level.INFO, "platform.regained"
            )


def create_replicator(
    place: readers.ReaderSelection,
    process: int,
    control: str,
    seeds: tuple[str, ...],
    rank_routers: replica.RankRouters,
    tell: Callable[[Iterable[str], messages.Message], None],
    prove: Callable[[float], None],
) -> Replicator:
    """Creates the keeper of a replica that knows nothing yet.

    Args:
        place: This process's VM and where it stands.
        process: Its incarnation.
        control: Where it takes control messages.
        seeds: Routers to begin with, by address.
        rank_routers: Lists the routers that are heard.
        tell: Sends a control message to some routers.
        prove: See `Replicator`.
    """
    now = transport.read_clock()
    kept = replica.create_replica(now, process, process, control, place, seeds)
    return Replicator(kept, rank_routers, tell, prove)
