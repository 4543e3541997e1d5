"""Which revision of the operators' text is in force at a process."""

__all__ = [
    "SubmitOutcome",
    "VersionState",
    "record_rival",
    "submit_document",
    "submit_text",
]

import dataclasses
import enum

from returns import result

from sycamorefall.configuration import documents, schema
from sycamorefall.configuration import text as text_module


class SubmitOutcome(enum.Enum):
    """What came of a text that was offered.

    ADOPTED: it is in force now.
    REFUSED: it is not valid.
    KNOWN: it is in force already, or was refused before.
    OLDER: a higher revision is in force.
    CONFLICT: another text under the same revision goes before it.
    """

    ADOPTED = "adopted"
    REFUSED = "refused"
    KNOWN = "known"
    OLDER = "older"
    CONFLICT = "conflict"


@dataclasses.dataclass(slots=True)
class VersionState:
    """The configuration in force, and what was offered and not taken.

    Attributes:
        document: The text of the configuration in force.
        configuration: The configuration in force, if there is any.
        refused: The newest text that was found bad, while it is newer than
            the one in force.
        refusal: Why it was.
        rival: Digest of another text under the revision in force that goes
            after it: the highest seen; empty if there is none.
        older_seen: Offers of a lower revision, ignored.
    """

    document: documents.Document | None = None
    configuration: schema.Configuration | None = None
    refused: documents.Document | None = None
    refusal: str = ""
    rival: str = ""
    older_seen: int = 0

    @property
    def in_force(self) -> int:
        """Revision of the configuration in force; 0 if there is none."""
        return self.document.revision if self.document else 0

    @property
    def revision(self) -> int:
        """Revision of the newest text judged, adopted or refused."""
        refused = self.refused.revision if self.refused else 0
        return max(self.in_force, refused)

    @property
    def conflict(self) -> str:
        """Which two texts came under the revision in force, if any did."""
        bad = self.refused
        is_bad_rival = bad is not None and bad.revision == self.in_force
        other = bad.digest if is_bad_rival else self.rival
        if not other or self.document is None:
            return ""
        return (
            f"revision {self.in_force} has two texts: "
            f"{self.document.digest[:12]} is in force, {other[:12]} is not"
        )

    @property
    def text(self) -> str:
        """Text of the configuration in force."""
        return self.document.text if self.document else ""


def submit_text(state: VersionState, revision: int, text: str) -> SubmitOutcome:
    """Takes a text into force if it is newer and valid.

    Args:
        state: Versions of this process; changed.
        revision: The platform's revision of the text.
        text: The operators' text.

    Returns:
        What came of it.
    """
    return submit_document(state, documents.create_document(revision, text))


def submit_document(
    state: VersionState, document: documents.Document
) -> SubmitOutcome:
    """Takes a text into force if it is newer and valid.

    Guards against a stale platform: after it restarts from an old copy it
    shows a lower revision, and a process that followed would bring back a
    configuration that operators have replaced. In force is always the
    highest valid text offered so far, whatever the order of the offers, so
    no order leads back and all who saw the same texts agree.

    Args:
        state: Versions of this process; changed.
        document: The operators' text at a revision.

    Returns:
        What came of it.
    """
    if document in (state.document, state.refused):
        return SubmitOutcome.KNOWN
    if document.revision < state.in_force:
        state.older_seen += 1
        return SubmitOutcome.OLDER
    if document.revision == state.in_force:
        record_rival(state, document.revision, document.digest)
        if document.key < state.document.key:
            return SubmitOutcome.CONFLICT
    return _judge(state, document)


def _judge(state: VersionState, document: documents.Document) -> SubmitOutcome:
    match text_module.parse_blocks(one.text for one in document.blocks):
        case result.Success(configuration):
            replaced, state.document = state.document, document
            if replaced is None or replaced.revision < document.revision:
                state.rival = ""
            else:
                state.rival = max(state.rival, replaced.digest)
            state.configuration = configuration
            if state.refused and state.refused.key < document.key:
                state.refused = None
                state.refusal = ""
            return SubmitOutcome.ADOPTED
        case result.Failure(fault):
            if state.refused is None or state.refused.key < document.key:
                state.refused = document
                state.refusal = str(fault)
    return SubmitOutcome.REFUSED


def record_rival(state: VersionState, revision: int, digest: str) -> None:
    """Notes that another text goes about under the revision in force.

    It is not taken where ours goes before it, but operators are to see the
    conflict, at each process alike.

    Args:
        state: Versions of this process; changed.
        revision: The other text's revision.
        digest: Its digest.
    """
    ours = state.document
    if ours is not None and ours.revision == revision and digest < ours.digest:
        state.rival = max(state.rival, digest)
