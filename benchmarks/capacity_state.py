"""Memory of a node's state per VM, account, waiting request and team.

The state is built in this process by the product's functions, at several
sizes to which a slope is fitted. No sockets are opened.
"""

import time

import msgspec

from benchmarks import capacity_probe as probe
from standins import fleet as fleet_module
from sycamorefall import configuration, membership, messages, sharing
from sycamorefall.configuration import text as text_module
from sycamorefall.router import intake
from sycamorefall.router import state as router_state

SERVICE = "assistant"

TEAMS = 31_000
"""Number of teams expected in two years."""

MAX_TEXT_BYTES = 1 << 20
"""Largest size of a value of the configuration service, in bytes."""


def build_vms(count: int) -> tuple[membership.VmEntry, ...]:
    """Builds entries of upstream VMs as the platform lists them."""
    return tuple(
        membership.VmEntry(
            f"engine-{index}",
            membership.VmRole.UPSTREAM,
            f"domain-{index % 8}",
            f"10.0.{index // 250}.{index % 250}:7401",
            f"10.0.{index // 250}.{index % 250}:7400",
            SERVICE,
        )
        for index in range(count)
    )


def build_directory(count: int) -> membership.Directory:
    """Builds a directory of VMs that have all sent a message."""
    directory = membership.Directory()
    membership.apply_vm_list(directory, membership.VmList(1, build_vms(count)))
    for name in directory.vms:
        membership.record_peer_message(directory, 1.0, name, 10**15, False)
    return directory


def build_accounts(count: int) -> sharing.ServiceAccounts:
    """Builds accounts of teams that were served by one sidecar only."""
    accounts = sharing.ServiceAccounts("engine-0/1")
    for index in range(count):
        sharing.charge_team(accounts, f"team-{index}", 10.0)
    return accounts


def build_entries(count: int) -> sharing.ServiceAccounts:
    """Builds accounts of 100 teams.

    Args:
        count: Number of entries in total; each sidecar has one per team.
    """
    accounts = sharing.ServiceAccounts("engine-0/1")
    for label in range(count // 100):
        entries = [
            messages.AccountEntry(
                f"team-{index}", f"engine-{label}/1", 5, 1.5 * label, 2.5, 0.0
            )
            for index in range(100)
        ]
        sharing.merge_entries(accounts, entries)
    return accounts


def build_waiting(count: int) -> router_state.RouterState:
    """Builds a router whose requests wait for a reachable upstream."""
    state = router_state.RouterState("router-0", 1)
    text = fleet_module.build_configuration_text(
        {f"team-{index}": 1.0 for index in range(16)},
        f"[service {SERVICE}]\nkind = engine\n",
        f"waiting_per_team = {count + 1}\nwaiting_per_router = {count + 1}",
    )
    configuration.submit_text(state.versions, 1, text)
    vms = membership.VmList(1, build_vms(1))
    membership.apply_vm_list(state.directory, vms)
    membership.record_peer_message(state.directory, 1.0, "engine-0", 1, False)
    for index in range(count):
        new = router_state.NewRequest(
            SERVICE,
            f"team-{index % 16}",
            "POST",
            "/v1/chat/completions",
            (("content-type", "application/json"),),
            30.0,
            True,
        )
        intake.admit_request(state, 1.0, new)
    return state


def build_text(count: int) -> str:
    """Builds a configuration text of 19 services, and teams with a key each."""
    services = "".join(
        f"[service model-{index}]\nkind = engine\n" for index in range(19)
    )
    teams = {f"team-{index:05d}": 1.0 for index in range(count)}
    return fleet_module.build_configuration_text(teams, services)


def build_configuration(count: int) -> configuration.VersionState:
    """Builds the state in which a text with the teams is in force."""
    text_module._parse_block.cache_clear()
    state = configuration.VersionState()
    configuration.submit_text(state, 1, build_text(count))
    return state


def measure_parse(count: int) -> float:
    """Measures the processor time to adopt a text, in seconds.

    The event loop is blocked for this time.
    """
    text = build_text(count)
    state = configuration.VersionState()
    # A process that has just started has parsed no block yet.
    text_module._parse_block.cache_clear()
    started_at = time.process_time()
    configuration.submit_text(state, 1, text)
    return time.process_time() - started_at


def measure_list(count: int) -> tuple[float, float]:
    """Measures the size of a VM list, and the time to decode and apply it.

    Returns:
        Bytes and seconds of processor time.
    """
    data = msgspec.json.encode(membership.VmList(2, build_vms(count)))
    directory = build_directory(count)
    started_at = time.process_time()
    vms = msgspec.json.decode(data, type=membership.VmList)
    membership.apply_vm_list(directory, vms)
    return float(len(data)), time.process_time() - started_at


def measure() -> list[probe.Measure]:
    """Measures memory per item, the VM list and the configuration text."""
    return [
        probe.fit_memory(
            "vm-memory",
            "a VM in the directory, heard from",
            build_directory,
            (320, 640, 1280),
        ),
        probe.fit_memory(
            "account-memory",
            "a team's account with one entry",
            build_accounts,
            (500, 1000, 2000),
        ),
        probe.fit_memory(
            "entry-memory",
            "one more sidecar's entry in a team's account",
            build_entries,
            (1000, 2000, 4000),
        ),
        probe.fit_memory(
            "request-memory",
            "a waiting request, without its body and connection",
            build_waiting,
            (500, 1000, 2000),
        ),
        *measure_lists(),
        *measure_text(),
    ]


def measure_lists() -> list[probe.Measure]:
    """Measures size and decoding time per VM of the platform's VM list."""
    counts = (320, 640, 1280)
    read = [measure_list(count) for count in counts]
    return [
        probe.fit_slope(
            "list-size",
            "a VM in the platform's list",
            "bytes",
            list(zip(counts, (size for size, _ in read), strict=True)),
        ),
        probe.fit_slope(
            "list-time",
            "decoding a VM of the list and taking it into use",
            "us",
            list(zip(counts, (cpu_time for _, cpu_time in read), strict=True)),
            1e6,
        ),
    ]


def measure_text() -> list[probe.Measure]:
    """Measures size, memory and parse time per team of a text."""
    sizes = [(n, float(len(build_text(n)))) for n in (1000, 2000, 4000)]
    pauses = [(n, measure_parse(n)) for n in (4000, 8000, 16000)]
    largest_pause = measure_parse(TEAMS)
    size = len(build_text(TEAMS))
    return [
        probe.fit_slope(
            "text-size", "a team in the text, one key", "bytes", sizes
        ),
        probe.fit_memory(
            "team-memory",
            "a team in the configuration in force, text included",
            build_configuration,
            (1000, 2000, 4000),
        ),
        probe.fit_slope(
            "parse-time", "parsing a team's section", "us", pauses, 1e6
        ),
        probe.Measure(
            "parse-pause",
            f"parse of {TEAMS} teams, the loop stands still",
            largest_pause,
            "s",
            f"one text of {size} bytes; a value holds {MAX_TEXT_BYTES}",
        ),
    ]
