"""Replicates the configuration text and the VM list among processes.

A few processes watch the platform. The others learn of newer revisions from the
control messages of their peers, and fetch the changed blocks from one of them.
"""

__all__ = [
    "WARNINGS",
    "DocumentExchanger",
    "Event",
    "EventKind",
    "ReplicaState",
    "add_replica_info",
    "apply_published_list",
    "apply_published_text",
    "create_state",
    "describe_alarms",
    "get_known_revision",
    "record_envelope",
    "record_published_revision",
    "try_settle",
]

from sycamorefall.replication.exchange import DocumentExchanger
from sycamorefall.replication.peers import add_replica_info, record_envelope
from sycamorefall.replication.replica import (
    WARNINGS,
    Event,
    EventKind,
    ReplicaState,
    apply_published_list,
    apply_published_text,
    create_state,
    describe_alarms,
    get_known_revision,
    record_published_revision,
)
from sycamorefall.replication.settling import try_settle
