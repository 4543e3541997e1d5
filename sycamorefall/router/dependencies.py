"""Calls that upstreams make to other services on behalf of a request."""

__all__ = ["Caller", "bind_request", "identify_caller"]

import dataclasses

from returns import result

from sycamorefall import admission, errors
from sycamorefall.router import intake
from sycamorefall.router import state as state_module


@dataclasses.dataclass(slots=True, frozen=True)
class Caller:
    """Identity of whoever makes a call.

    Attributes:
        team: The team that the call is accounted to.
        parent: The request on whose behalf an upstream makes the call, if any.
    """

    team: str
    parent: admission.Parent | None = None


def identify_caller(
    state: state_module.RouterState, key: str, token: str | None
) -> Caller | None:
    """Identifies the caller by a parent token, or else by a bearer key.

    Args:
        state: The router's state, with a configuration in force.
        key: The bearer key; empty if there is none.
        token: The value of `admission.PARENT_HEADER`, if present.

    Returns:
        The caller, or None if the credentials are invalid. With an invalid
        token, the key is not tried: the call would be accounted to another team
        and could outlive its parent.
    """
    if token is not None:
        parent = admission.verify_token(state.versions.configuration, token)
        return Caller(parent.team, parent) if parent else None
    team = intake.identify_team(state, key)
    return Caller(team) if team else None


def bind_request(
    state: state_module.RouterState,
    new: state_module.NewRequest,
    caller: Caller,
) -> result.Result[state_module.NewRequest, errors.ErrorKind]:
    """Limits a request to the services and the time that its parent allows.

    The check prevents a deadlock in which services wait for each other with all
    their slots in use until deadlines free them. A request occupies a slot of
    its service while it waits for its children, and children are admitted only
    at services on which the parent's service depends. Dependencies are acyclic,
    so every chain ends in requests that wait for no other. When these end,
    their slots serve the other requests of their service, and so on up the
    chain. A parent that was sent to a sidecar occupies no place in the router's
    queues and so can't keep its child out of them. A child that finds the
    queues full is answered at once, which also ends its parent's wait.

    Args:
        state: The router's state, with a configuration in force.
        new: The request as parsed.
        caller: The caller's identity.

    Returns:
        `Success` with the request, its timeout limited to its parent's
        remaining time, or `Failure` if the parent's service doesn't depend on
        the request's service.
    """
    parent = caller.parent
    if parent is None:
        return result.Success(new)
    service = state.versions.configuration.services.get(parent.service)
    if service is None or new.service not in service.depends_on:
        return result.Failure(errors.ErrorKind.UNDECLARED_DEPENDENCY)
    timeout = min(new.timeout, parent.remaining)
    return result.Success(dataclasses.replace(new, timeout=timeout))
