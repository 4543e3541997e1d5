"""Which revision of the operators' text is in force at a process."""

__all__ = ["Adoption", "VersionState", "offer_text"]

import dataclasses
import enum

from returns import result

from sycamorefall.configuration import text as text_module


class Adoption(enum.Enum):
    """What came of a text that was offered."""

    ADOPTED = "adopted"
    REFUSED = "refused"
    KNOWN = "known"
    OLDER = "older"


@dataclasses.dataclass(slots=True)
class VersionState:
    """The configuration in force, and what was offered and not taken.

    Attributes:
        revision: Revision of the text last judged, adopted or refused.
        text: Text of the configuration in force.
        in_force: Its revision; below `revision` while a bad text stands.
        configuration: The configuration in force, if there is any.
        refusal: Why the text at `revision` was refused, if it was.
        older_seen: Offers of a lower revision, ignored.
    """

    revision: int = 0
    text: str = ""
    in_force: int = 0
    configuration: text_module.Configuration | None = None
    refusal: str = ""
    older_seen: int = 0


def offer_text(state: VersionState, revision: int, text: str) -> Adoption:
    """Takes a text into force if it is newer and valid.

    Guards against a stale platform: after it restarts from an old copy it
    shows a lower revision, and a process that followed would bring back a
    configuration that operators have replaced. Only a higher revision is
    ever taken, so no order of answers can lead back.

    Args:
        state: Versions of this process; changed.
        revision: The platform's revision of the text.
        text: The operators' text.

    Returns:
        What came of it.
    """
    if revision < state.revision:
        state.older_seen += 1
        return Adoption.OLDER
    if revision == state.revision:
        return Adoption.KNOWN
    parsed = text_module.parse_configuration(text, state.configuration)
    state.revision = revision
    match parsed:
        case result.Success(configuration):
            state.text = text
            state.in_force = revision
            state.configuration = configuration
            state.refusal = ""
            return Adoption.ADOPTED
        case result.Failure(fault):
            state.refusal = str(fault)
    return Adoption.REFUSED
