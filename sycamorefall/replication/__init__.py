"""Spreads the operators' text and the VM list from process to process.

A few processes read the platform; the others hear of newer revisions on the
control messages of their peers and fetch what changed from one of them.
"""

__all__ = [
    "WARNINGS",
    "Event",
    "EventKind",
    "Exchanger",
    "ReplicaState",
    "create_state",
    "describe_alarms",
    "find_known",
    "note_envelope",
    "stamp_message",
    "take_published_list",
    "take_published_text",
    "take_unchanged",
    "try_settle",
]

from sycamorefall.replication.exchange import Exchanger
from sycamorefall.replication.peers import note_envelope, stamp_message
from sycamorefall.replication.replica import (
    WARNINGS,
    Event,
    EventKind,
    ReplicaState,
    create_state,
    describe_alarms,
    find_known,
    take_published_list,
    take_published_text,
    take_unchanged,
)
from sycamorefall.replication.settling import try_settle
