"""Calls that upstreams make on behalf of a request, as a router takes them."""

__all__ = ["Caller", "bind_request", "identify_caller"]

import dataclasses

from returns import result

from sycamorefall import admission, errors
from sycamorefall.router import intake
from sycamorefall.router import state as state_module


@dataclasses.dataclass(slots=True, frozen=True)
class Caller:
    """Who makes a call.

    Attributes:
        team: The team that the call is accounted to.
        parent: The request on whose behalf an upstream makes it, if so.
    """

    team: str
    parent: admission.Parent | None = None


def identify_caller(
    state: state_module.RouterState, key: str, token: str | None
) -> Caller | None:
    """Finds who makes a call, by a parent's token or else by a bearer key.

    Args:
        state: The router, with a configuration in force.
        key: The bearer key, empty if there is none.
        token: The value of `admission.PARENT_HEADER`, if there is one.

    Returns:
        The caller, or None if neither is valid. A token that is not valid is
        not made up for by a key: the call would be accounted to another
        team, and outlive its parent.
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
    """Binds a request to the one on whose behalf it is made, if any.

    Guards against a deadlock, which shows as services that all wait for each
    other with their slots full until deadlines free them. A request holds a
    slot of its own service while it waits for its children, and children are
    let in only at services that its service depends on. Dependencies have no
    cycle, so at the end of each chain stand requests that wait for nobody;
    they end, their slots serve the others of their service, and so on up the
    chain. At a router a parent that was handed out holds no place in the
    queues, so it can't keep its child out of them; a child that finds them
    full is answered at once, which ends its parent's wait too.

    Args:
        state: The router, with a configuration in force.
        new: The request as read.
        caller: Who makes it.

    Returns:
        `Success` with the request, its time cut to what its parent had left,
        or `Failure` if the parent's service doesn't depend on this one.
    """
    parent = caller.parent
    if parent is None:
        return result.Success(new)
    service = state.versions.configuration.services.get(parent.service)
    if service is None or new.service not in service.depends_on:
        return result.Failure(errors.ErrorKind.UNDECLARED_DEPENDENCY)
    timeout = min(new.timeout, parent.remaining)
    return result.Success(dataclasses.replace(new, timeout=timeout))
