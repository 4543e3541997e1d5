"""Calls that an upstream makes on behalf of a request.

A sidecar passes a token to its upstream with each request. The upstream sends
it back, as it is, with the calls it makes to other services, to any router.
By it the call is accounted to the team of the request that caused it, and
ends with that request's time.

The token is signed with a hash of the team's own bearer key, which the
operators' text gives to every process of the system and to no other team. So
routers and sidecars need no secret of their own, and a caller can at most
forge a token of its own team, which it can call as anyway.
"""

__all__ = [
    "PARENT_HEADER",
    "Parent",
    "issue_token",
    "verify_token",
]

import base64
import binascii
import hashlib
import hmac

import msgspec

from sycamorefall import configuration

PARENT_HEADER = "Sycamorefall-Parent"
"""Header that carries the token, to the upstream and back to a router."""

LONGEST_TOKEN = 1024
"""Characters of a token; a longer one is none of ours."""

_MAC_SIZE = hashlib.sha256().digest_size


class Parent(msgspec.Struct, frozen=True, array_like=True):
    """The request on whose behalf a call is made.

    Attributes:
        team: Its team.
        service: The service whose upstream makes the call.
        attempt_id: The attempt that the upstream runs.
        remaining: Seconds that were left to its caller's deadline when it
            was passed to the upstream. No clocks are compared between VMs,
            so this is more than is left now, by the time it has run.
    """

    team: str
    service: str
    attempt_id: str
    remaining: float


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Parent)


def _sign(key_hash: str, body: bytes) -> bytes:
    return hmac.digest(bytes.fromhex(key_hash), body, "sha256")


def issue_token(
    in_force: configuration.Configuration, parent: Parent
) -> str | None:
    """Issues the token for a request that is passed to an upstream.

    Args:
        in_force: The configuration in force.
        parent: The request.

    Returns:
        Text that fits an HTTP header, or None if the team has no key, or is
        no longer listed.
    """
    team = in_force.teams.get(parent.team)
    if team is None or not team.keys_sha256:
        return None
    body = _encoder.encode(parent)
    token = _sign(team.keys_sha256[0], body) + body
    return base64.urlsafe_b64encode(token).decode("ascii")


def verify_token(
    in_force: configuration.Configuration, text: str
) -> Parent | None:
    """Reads and checks a token.

    Guards against a caller that names another team to spend that team's
    share: the signature is checked against each of the named team's keys, in
    a time that tells nothing about them. All keys count, so that tokens
    outlive the change from one key to the next.

    Args:
        in_force: The configuration in force.
        text: The header's value.

    Returns:
        The request on whose behalf the call is made, or None if the token
        is not valid.
    """
    if len(text) > LONGEST_TOKEN:
        return None
    try:
        token = base64.b64decode(text, altchars=b"-_", validate=True)
        mac, body = token[:_MAC_SIZE], token[_MAC_SIZE:]
        parent = _decoder.decode(body)
    except (msgspec.DecodeError, binascii.Error, ValueError):
        return None
    team = in_force.teams.get(parent.team)
    if team is None:
        return None
    signed = [
        hmac.compare_digest(mac, _sign(key_hash, body))
        for key_hash in team.keys_sha256
    ]
    return parent if any(signed) else None
