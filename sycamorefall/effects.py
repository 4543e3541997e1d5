"""Effects shared by the decision cores: what a process should do next."""

__all__ = [
    "SendMessage",
]

import dataclasses

from sycamorefall import messages


@dataclasses.dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a control message.

    Attributes:
        to: VM name of the receiver.
        message: The message.
    """

    to: str
    message: messages.Message
