"""Effects that the decision logic of routers and of sidecars returns."""

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
