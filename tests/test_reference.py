"""Consistency of the pages below docs/ with the code, and their links."""

import doctest
import pathlib
import re

import pytest

from sycamorefall import errors
from tests import reference

ROOT = pathlib.Path(__file__).parents[1]
PAGES = [*(ROOT / "docs").rglob("*.md"), *ROOT.glob("*.md")]


@pytest.mark.parametrize("page", reference.build_tables())
def test_reference_tables_match_the_code(page):
    """If this test fails, run `make reference` to update the page."""
    text = (reference.PAGES / page).read_text()
    assert text == reference.replace_tables(
        text, reference.build_tables()[page]
    )


def test_doctests_of_the_developers_page_pass():
    path = str(ROOT / "docs" / "developers.md")
    failed, run = doctest.testfile(path, module_relative=False)
    assert run > 10
    assert not failed


def test_each_error_kind_has_a_response_and_a_meaning():
    kinds = set(errors.ErrorKind)
    assert set(errors.ANSWERS) == kinds
    assert set(errors.MEANINGS) == kinds


@pytest.mark.parametrize("page", PAGES, ids=lambda path: path.name)
def test_links_between_pages_have_existing_targets(page):
    links = re.findall(r"\]\((?!https?:|#)([^)#]+)", page.read_text())
    assert [link for link in links if not (page.parent / link).exists()] == []
