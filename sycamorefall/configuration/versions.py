"""Decides which revision of the configuration text is in force."""

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
    """Result of submitting a configuration text.

    ADOPTED: the text is in force now.
    REFUSED: the text is not valid.
    KNOWN: the text was in force already, or had been refused before.
    OLDER: a higher revision is in force.
    CONFLICT: another text with the same revision and a higher digest is in
        force.
    """

    ADOPTED = "adopted"
    REFUSED = "refused"
    KNOWN = "known"
    OLDER = "older"
    CONFLICT = "conflict"


@dataclasses.dataclass(slots=True)
class VersionState:
    """The configuration in force, and the texts that were not adopted.

    Attributes:
        document: Text of the configuration in force; None if there is none.
        configuration: The configuration in force; None if there is none.
        refused: The newest text that failed validation, while it is newer
            than the one in force; None if there is none.
        refusal: Error for which that text was refused; empty if there is
            none.
        rival: Highest digest seen of a text that has the revision in force
            and a lower digest than the text in force; empty if there is
            none.
        older_seen: Number of submitted texts that were ignored because their
            revision was lower than the one in force.
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
        """Revision of the newest text that was validated, adopted or not."""
        refused = self.refused.revision if self.refused else 0
        return max(self.in_force, refused)

    @property
    def conflict(self) -> str:
        """Names two texts that share the revision in force; empty if none."""
        candidate = self.refused
        is_refused_rival = (
            candidate is not None and candidate.revision == self.in_force
        )
        other = candidate.digest if is_refused_rival else self.rival
        if not other or self.document is None:
            return ""
        return (
            f"revision {self.in_force} has two texts: "
            f"{self.document.digest[:12]} is in force, {other[:12]} is not"
        )

    @property
    def text(self) -> str:
        """Text of the configuration in force; empty if there is none."""
        return self.document.text if self.document else ""


def submit_text(state: VersionState, revision: int, text: str) -> SubmitOutcome:
    """Puts a configuration text in force if it is newer and valid.

    Args:
        state: Versions of this process; changed.
        revision: Revision that the platform gave to the text.
        text: The configuration text.

    Returns:
        The result.
    """
    return submit_document(state, documents.create_document(revision, text))


def submit_document(
    state: VersionState, document: documents.Document
) -> SubmitOutcome:
    """Puts a configuration text in force if it is newer and valid.

    A platform that restarts from an old copy publishes a lower revision.
    Following it would bring back a configuration that operators have
    replaced. The text in force is therefore always the valid text with the
    highest key submitted so far, in whatever order the texts arrive. No order
    leads back to an older text, and all processes that saw the same texts
    agree.

    Args:
        state: Versions of this process; changed.
        document: The configuration text at its revision.

    Returns:
        The result.
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
    return _validate_and_adopt(state, document)


def _validate_and_adopt(
    state: VersionState, document: documents.Document
) -> SubmitOutcome:
    match text_module.parse_blocks(block.text for block in document.blocks):
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
        case result.Failure(error):
            if state.refused is None or state.refused.key < document.key:
                state.refused = document
                state.refusal = str(error)
    return SubmitOutcome.REFUSED


def record_rival(state: VersionState, revision: int, digest: str) -> None:
    """Records the digest of another text that has the revision in force.

    The text in force has the higher digest and stays in force. The other
    digest is stored so that each process shows the same conflict to operators.

    Args:
        state: Versions of this process; changed.
        revision: Revision of the other text.
        digest: Digest of the other text.
    """
    own = state.document
    if own is not None and own.revision == revision and digest < own.digest:
        state.rival = max(state.rival, digest)
