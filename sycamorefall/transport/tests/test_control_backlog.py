"""Messages that queue at a process which is behind."""

import pynng

from sycamorefall import authentication, messages, settings
from sycamorefall.transport import control


class SlowInbox:
    """A socket whose thread fetches a message only while the loop waits."""

    def __init__(self, inbox, queued):
        self.inbox, self.queued = inbox, queued

    def recv(self, block):
        if not block or not self.queued:
            raise pynng.TryAgain("no message", 8)
        return self.queued.pop(0)

    def close(self):
        self.inbox.close()


def handle_backlog(is_behind):
    """Queues 100 messages; returns the sequence numbers handled at once."""
    handled = []
    authenticator = authentication.create_authenticator(
        "front-1", settings.SecuritySettings()
    )
    links = control.ControlLinks(
        "127.0.0.1:0",
        lambda name: None,
        lambda envelope: handled.append(envelope.message.sequence),
        authenticator,
        is_behind=is_behind,
    )
    queued = [
        authenticator.sign_message(
            "front-1",
            messages.encode_envelope(
                messages.Envelope(
                    "front-2", 1, 1, messages.RouterLoad(number, "")
                )
            ),
        )
        for number in range(100)
    ]
    links._inbox = SlowInbox(links._inbox, queued)
    links._on_read(None)
    links.close()
    return handled


def test_process_that_is_behind_handles_the_messages_that_queue():
    # Guards against ever older messages at a VM without processor time: the
    # socket's thread ran only while the loop waited and fetched one message of
    # each peer, and the router decided by what others had sent seconds ago.
    assert handle_backlog(lambda: True) == list(range(100))


def test_process_that_is_not_behind_does_not_wait_for_messages():
    # Ensures that a process with time to spare doesn't stop for its messages.
    assert handle_backlog(lambda: False) == []
