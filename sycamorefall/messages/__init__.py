"""Messages between routers and sidecars, and their codec.

Control messages are sent in an `Envelope`, encoded as MessagePack. They may be
lost, repeated, delayed or reordered, and each receiver has to tolerate this.
An `AttemptOrder` is not a control message: it is sent in a header of the HTTP
request by which a router sends an attempt to a sidecar.
"""

__all__ = [
    "ATTEMPT_HEADER",
    "ATTEMPT_PATH",
    "ORDER_HEADER",
    "OUTCOME_HEADER",
    "SIGNATURE_HEADER",
    "UNCLAIMED",
    "AccountEntry",
    "AccountUpdate",
    "AttemptOrder",
    "AttemptOutcome",
    "AttemptQuery",
    "AttemptReport",
    "AttemptState",
    "Claim",
    "CrashReport",
    "CrashReports",
    "Envelope",
    "FetchRecords",
    "Heartbeat",
    "KnownRouters",
    "LoadScope",
    "Message",
    "Name",
    "NameEntry",
    "NoWork",
    "ReaderState",
    "Record",
    "RecordChanges",
    "RouterAddress",
    "RouterLoad",
    "SentPrompt",
    "ServiceDemand",
    "Subscribe",
    "SuspectRecord",
    "TeamService",
    "TeamWaiting",
    "UnknownNames",
    "UpstreamLoad",
    "Waiting",
    "decode_envelope",
    "decode_order",
    "encode_envelope",
    "encode_order",
]

from sycamorefall.messages.attempts import (
    ATTEMPT_HEADER,
    ATTEMPT_PATH,
    ORDER_HEADER,
    OUTCOME_HEADER,
    SIGNATURE_HEADER,
    UNCLAIMED,
    AttemptOrder,
    AttemptOutcome,
    AttemptQuery,
    AttemptReport,
    AttemptState,
    decode_order,
    encode_order,
)
from sycamorefall.messages.envelope import (
    Envelope,
    Message,
    decode_envelope,
    encode_envelope,
)
from sycamorefall.messages.loads import (
    CrashReport,
    CrashReports,
    KnownRouters,
    LoadScope,
    RouterAddress,
    RouterLoad,
    SentPrompt,
    ServiceDemand,
    SuspectRecord,
    TeamService,
    UpstreamLoad,
)
from sycamorefall.messages.naming import (
    Name,
    NameEntry,
    UnknownNames,
)
from sycamorefall.messages.records import (
    FetchRecords,
    ReaderState,
    Record,
    RecordChanges,
    Subscribe,
)
from sycamorefall.messages.scheduling import (
    AccountEntry,
    AccountUpdate,
    Claim,
    Heartbeat,
    NoWork,
    TeamWaiting,
    Waiting,
)
