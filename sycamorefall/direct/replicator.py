"""Keeps a process's replica of the platform's records up to date."""

__all__ = [
    "RecordSource",
    "Replicator",
    "create_replicator",
]

import collections
from collections.abc import Callable, Iterable
import math
from typing import Protocol

from sycamorefall import messages, observation, transport
from sycamorefall.direct import (
    read_schedule,
    readers,
    records,
    replica,
    revisions,
)


class RecordSource(Protocol):
    """Reads the platform and puts its records into effect."""

    def start_read(self, kind: read_schedule.ReadKind) -> None:
        """Sends a read; its result is passed to the `Replicator`."""

    def cancel_read(self) -> None:
        """Cancels the read in progress."""

    def apply_records(self, known: records.Records) -> None:
        """Puts the records that have changed into effect."""


class Replicator:
    """Performs the effects that the replica returns.

    Attributes:
        replica: The records and the state that keeps them up to date.
        source: Reads the platform and applies the records; None until it is
            set.
        reads: Number of finished reads, by kind and result.
        restorations: Number of times that the platform was found to have been
            restored from a copy.
    """

    __slots__ = (
        "_is_reachable",
        "_on_proof",
        "_on_settling",
        "_rank_routers",
        "_send",
        "reads",
        "replica",
        "restorations",
        "source",
    )

    def __init__(
        self,
        initial_replica: replica.Replica,
        rank_routers: replica.RankRouters,
        send: Callable[[Iterable[str], messages.Message], None],
        on_proof: Callable[[float], None],
        on_settling: Callable[[float, bool], None],
    ):
        """Creates a replicator whose `source` is not set yet.

        Args:
            initial_replica: The replica.
            rank_routers: See `replica.RankRouters`.
            send: Sends a control message to routers, by VM name or control
                address.
            on_proof: Called with each time at which the records in effect were
                certainly the newest.
            on_settling: Called with `until` and `withdraw` of each
                `replica.BeginSettling`.
        """
        self.replica = initial_replica
        self.source: RecordSource | None = None
        self.reads: collections.Counter[tuple[str, str]] = collections.Counter()
        self._rank_routers = rank_routers
        self._send = send
        self._on_proof = on_proof
        self._on_settling = on_settling
        self._is_reachable = True
        self.restorations = 0

    def find_next_due(self) -> float:
        """Returns when `run` has to be called next."""
        return replica.find_next_due(self.replica)

    def run(self, now: float, read_until: float = math.inf) -> None:
        """Runs the replica's timers; counts a read that timed out.

        Args:
            now: Current time of this process's clock.
            read_until: Time up to which input was handled.
        """
        waited_until = min(now, read_until)
        if read_schedule.is_read_expired(
            self.replica.read_schedule, waited_until
        ):
            self._record_failed_read("timeout")
        effects = replica.run_timers(
            self.replica, now, self._rank_routers, waited_until
        )
        self._perform(effects)

    def receive(self, envelope: messages.Envelope) -> None:
        """Handles a control message from another router."""
        now = transport.read_clock()
        self._perform(replica.receive_message(self.replica, now, envelope))

    def extend_read(self) -> None:
        """Restarts the timeout of the read, as part of its answer arrived."""
        read_schedule.extend_read(
            self.replica.read_schedule, transport.read_clock()
        )

    def receive_probe(self, revision: int) -> None:
        """Handles the platform's revision, the answer to a probe."""
        if self._refuse_contradiction(revision):
            return
        self._record_successful_read(read_schedule.ReadKind.PROBE)
        now = transport.read_clock()
        self._perform(replica.handle_probe(self.replica, now, revision))

    def receive_snapshot(
        self, revision: int, listed: Iterable[messages.Record]
    ) -> None:
        """Handles all records as of a revision, the answer to a snapshot."""
        if self._refuse_contradiction(revision):
            return
        self._record_successful_read(read_schedule.ReadKind.SNAPSHOT)
        now = transport.read_clock()
        effects = replica.handle_snapshot(self.replica, now, revision, listed)
        self._perform(effects)

    def receive_failure(self, reason: str) -> None:
        """Counts and handles a read that failed."""
        self._record_failed_read(reason)
        now = transport.read_clock()
        self._perform(replica.handle_read_failure(self.replica, now))

    def get_era(self) -> int:
        """Returns the platform's era that the known records are of."""
        return revisions.get_era(self.replica.records.revision)

    def _refuse_contradiction(self, revision: int) -> bool:
        """Counts an answer from before what was known as failed.

        Returns:
            Whether the answer was one.
        """
        if not replica.is_contradictory(self.replica, revision):
            return False
        self.receive_failure("revision went back")
        return True

    def _perform(self, effects: Iterable[replica.Effect]) -> None:
        for effect in effects:
            match effect:
                case replica.StartRead(kind):
                    self.source.start_read(kind)
                case replica.CancelRead():
                    self.source.cancel_read()
                case replica.SendMessage(to, message):
                    self._send((to,), message)
                case replica.ApplyRecords():
                    self.source.apply_records(self.replica.records)
                case replica.RecordProof(proven_at):
                    self._on_proof(proven_at)
                case replica.BeginSettling():
                    self._begin_settling(effect)

    def _begin_settling(self, effect: replica.BeginSettling) -> None:
        self.restorations += 1
        observation.write_record(
            observation.Level.WARNING,
            "platform.restored",
            era=effect.era,
            before=effect.era_before,
            returned=effect.returned,
            settles_in=round(effect.until - transport.read_clock(), 3),
        )
        self._on_settling(effect.until, effect.withdraw)

    def _record_failed_read(self, reason: str) -> None:
        self.reads[self.replica.read_schedule.read.value, "failed"] += 1
        if self._is_reachable:
            self._is_reachable = False
            observation.write_record(
                observation.Level.WARNING, "platform.lost", reason=reason
            )

    def _record_successful_read(self, kind: read_schedule.ReadKind) -> None:
        self.reads[kind.value, "answered"] += 1
        if not self._is_reachable:
            self._is_reachable = True
            observation.write_record(
                observation.Level.INFO, "platform.regained"
            )


def create_replicator(
    reader_selection: readers.ReaderSelection,
    incarnation: int,
    control: str,
    seeds: tuple[str, ...],
    rank_routers: replica.RankRouters,
    send: Callable[[Iterable[str], messages.Message], None],
    on_proof: Callable[[float], None],
    on_settling: Callable[[float, bool], None],
) -> Replicator:
    """Creates the replicator of an empty replica.

    Args:
        reader_selection: VM name and failure domain of this router.
        incarnation: Incarnation of this process; also the seed of the
            replica's random jitter.
        control: Address at which this process receives control messages.
        seeds: Control addresses of the seed routers.
        rank_routers: See `Replicator`.
        send: See `Replicator`.
        on_proof: See `Replicator`.
        on_settling: See `Replicator`.
    """
    now = transport.read_clock()
    initial_replica = replica.create_replica(
        now, incarnation, incarnation, control, reader_selection, seeds
    )
    return Replicator(
        initial_replica, rank_routers, send, on_proof, on_settling
    )
