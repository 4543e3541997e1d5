"""Messages are accepted from holders of the shared key, and only once."""

import pytest

from sycamorefall import authentication, errors, messages, settings

KEY, OLD = b"k" * 32, b"o" * 32


def build_authenticator(vm, *keys):
    return authentication.Authenticator(vm, keys or (KEY,))


def encode_heartbeat(incarnation=1):
    envelope = messages.Envelope(
        "router-1", incarnation, 1, messages.Heartbeat()
    )
    return messages.encode_envelope(envelope)


def test_signed_message_is_accepted_once():
    sender, receiver = (
        build_authenticator("router-1"),
        build_authenticator("engine-1"),
    )
    signed = sender.sign_message("engine-1", encode_heartbeat())
    assert receiver.verify_message(signed).sender == "router-1"
    with pytest.raises(errors.MessageRefused, match="repeated"):
        receiver.verify_message(signed)
    again = sender.sign_message("engine-1", encode_heartbeat())
    assert receiver.verify_message(again).sender == "router-1"


def test_message_of_an_earlier_process_is_refused():
    """Messages of a process that has been replaced are refused.

    A frozen process resumes after its successor has started and continues to
    send, or somebody replays its messages.
    """
    receiver = build_authenticator("engine-1")
    old, new = build_authenticator("router-1"), build_authenticator("router-1")
    receiver.verify_message(new.sign_message("engine-1", encode_heartbeat(2)))
    with pytest.raises(errors.MessageRefused, match="old"):
        receiver.verify_message(
            old.sign_message("engine-1", encode_heartbeat(1))
        )


@pytest.mark.parametrize(
    "tamper",
    [
        lambda data: encode_heartbeat(),
        lambda data: b"",
        lambda data: data[:20],
        lambda data: data[:-1] + bytes([data[-1] ^ 1]),
        lambda data: data[:16] + bytes(7) + b"\x09" + data[24:],
        lambda data: build_authenticator("x", OLD).sign_message(
            "engine-1", encode_heartbeat()
        ),
        lambda data: build_authenticator("x").sign_message(
            "engine-2", encode_heartbeat()
        ),
    ],
)
def test_forged_messages_are_refused(tamper):
    signed = build_authenticator("router-1").sign_message(
        "engine-1", encode_heartbeat()
    )
    with pytest.raises(errors.MessageRefused):
        build_authenticator("engine-1").verify_message(tamper(signed))


def test_orders_are_bound_to_sidecar_and_body():
    router, sidecar = (
        build_authenticator("router-1"),
        build_authenticator("engine-1"),
    )
    digest = router.sign_order("engine-1", "order", b"body")
    assert sidecar.verify_order("order", b"body", digest)
    assert not sidecar.verify_order("order", b"other", digest)
    assert not sidecar.verify_order("other", b"body", digest)
    assert not sidecar.verify_order("order", b"body", "\u00fc")
    assert not build_authenticator("engine-2").verify_order(
        "order", b"body", digest
    )


def test_key_is_replaced_one_process_after_another():
    old, both, new = (
        build_authenticator("a", OLD),
        build_authenticator("b", KEY, OLD),
        build_authenticator("c", KEY),
    )
    assert both.verify_message(old.sign_message("b", encode_heartbeat()))
    assert new.verify_message(both.sign_message("c", encode_heartbeat()))


def test_key_file_is_checked(tmp_path):
    path = tmp_path / "key"
    config = settings.SecuritySettings(shared_key_file=str(path))
    with pytest.raises(errors.SettingsRefused, match="shared_key_file"):
        authentication.create_authenticator("a", config)
    path.write_text("short\n")
    with pytest.raises(errors.SettingsRefused, match="32 characters"):
        authentication.create_authenticator("a", config)
    path.write_bytes(KEY + b"\n" + OLD + b"\n")
    assert authentication.create_authenticator("a", config).enabled
