"""Fixtures of the tests on real processes."""

import pytest

from standins import fleet as fleet_module

TEAMS = {"mill-a": 1.0, "mill-b": 1.0, "flood": 1.0, "large": 2.0}

SERVICES = """
[service assistant]
kind = engine
concurrency = 4
prompt_weight = 0

[service ledger]
kind = plain
concurrency = 4
"""


def start_small_fleet(folder, platform_settings="") -> fleet_module.Fleet:
    """Starts a fleet of two routers, two engines and two ledgers."""
    return fleet_module.start_fleet(
        folder,
        fleet_module.build_configuration_text(TEAMS, SERVICES),
        routers=2,
        upstreams=[
            fleet_module.UpstreamGroup(
                "assistant", 2, "standins.engine", 4, ("--token-ms=2",)
            ),
            fleet_module.UpstreamGroup("ledger", 2, "standins.ledger", 4),
        ],
        platform_settings=platform_settings,
    )


@pytest.fixture(scope="module")
def shared_fleet(tmp_path_factory):
    """A fleet shared by the tests of a module, which must not change it."""
    fleet = start_small_fleet(tmp_path_factory.mktemp("fleet"))
    yield fleet
    fleet_module.kill_fleet(fleet)


@pytest.fixture
def isolated_fleet(tmp_path):
    """A fleet for one test, which may stop or change its processes."""
    fleet = start_small_fleet(tmp_path)
    yield fleet
    fleet_module.kill_fleet(fleet)
