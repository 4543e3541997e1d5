"""A store, upstreams and routers for each test of the whole path."""

import pytest

from standins import site as site_module
from sycamorefall.platform.tests import asking


@pytest.fixture
def site(tmp_path):
    with site_module.Site(tmp_path) as made:
        asking.put_configuration(made, 3)
        yield made
