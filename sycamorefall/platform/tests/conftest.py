"""Fixture with a simulated store and upstreams, and router processes."""

import pytest

from standins import site as site_module
from sycamorefall.platform.tests import router_client


@pytest.fixture
def site(tmp_path):
    with site_module.Site(tmp_path) as made:
        router_client.store_configuration(made, 3)
        yield made
