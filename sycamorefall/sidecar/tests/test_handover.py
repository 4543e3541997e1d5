"""A stopping sidecar sends its account entries before it exits."""

from sycamorefall import membership, messages, sharing
from sycamorefall.sidecar import core
from sycamorefall.sidecar import state as state_module


def test_sidecar_is_not_idle_until_its_last_accounts_are_sent():
    # If a sidecar exited before it sent its account entries to the others, its
    # last requests would not be counted, and their teams would get that much
    # more service than all others.
    state = state_module.create_state("ledger-0", 1, "ledger")
    entries = tuple(
        membership.VmEntry(
            name, membership.VmRole.UPSTREAM, "d", "", "", "ledger"
        )
        for name in ("ledger-0", "ledger-1")
    )
    membership.apply_vm_list(state.directory, membership.VmList(1, entries))
    core.begin_stop(state)
    assert core.is_idle(state)
    sharing.charge_team(state.accounts, "mill-a", 5.0)
    assert not core.is_idle(state)
    sends = core.run_timers(state, 1.0)
    assert core.is_idle(state)
    updates = [
        send.message
        for send in sends
        if isinstance(send.message, messages.AccountUpdate)
    ]
    assert [entry.served for entry in updates[0].entries] == [5.0]
