"""Tokens that attribute an upstream's calls to the request that caused them.

A sidecar passes a token to its upstream with each request. When the upstream
calls other services to process that request, through any router, it sends the
unchanged token along. The router charges the call to the team of the
parent request and limits the call's deadline to that of the parent request.

The token is signed with a hash of the team's own bearer key. The operators'
configuration distributes this hash to every process of the system and to no
other team. Routers and sidecars therefore need no secret of their own, and a
caller can at most forge a token of its own team, for which it has the key
anyway.
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
"""Header of the token, to the upstream and from it back to a router."""

MAX_TOKEN_LENGTH = 1024
"""Maximum number of characters of a token; a longer text is invalid."""

_MAC_SIZE = hashlib.sha256().digest_size


class Parent(msgspec.Struct, frozen=True, array_like=True):
    """The request that causes an upstream to call another service.

    Attributes:
        team: Team of the request.
        service: Service whose upstream makes the call.
        attempt_id: Attempt of the request that the upstream processes.
        remaining: Seconds that were left until the request's deadline when
            the request was passed to the upstream. As clocks of different
            VMs aren't compared, the time that has passed since then is not
            subtracted.
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
    """Issues a signed token for a request that is passed to an upstream.

    Args:
        in_force: The configuration in force.
        parent: The request.

    Returns:
        The token as URL-safe Base64, or None if the team has no key or is no
        longer in the configuration.
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
    """Decodes a token and verifies its signature.

    The verification prevents a caller from spending the share of another
    team. The signature is compared with that of each key of the named team,
    in constant time so that nothing about the keys leaks. All keys of the
    team are accepted, so that tokens stay valid during key rotation.

    Args:
        in_force: The configuration in force.
        text: The header's value.

    Returns:
        The parent request, or None if the token is invalid.
    """
    if len(text) > MAX_TOKEN_LENGTH:
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
