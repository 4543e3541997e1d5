"""Pages under docs/ agree with the code and with each other."""

import doctest
import pathlib
import re

import pytest

from sycamorefall import errors
from tests import reference

ROOT = pathlib.Path(__file__).parents[1]
PAGES = [*(ROOT / "docs").rglob("*.md"), *ROOT.glob("*.md")]


@pytest.mark.parametrize("page", reference.build_tables())
def test_reference_says_what_the_code_does(page):
    """If this fails, `make reference` brings the page up to date."""
    text = (reference.PAGES / page).read_text()
    assert text == reference.replace_tables(
        text, reference.build_tables()[page]
    )


def test_script_on_the_developers_page_runs():
    path = str(ROOT / "docs" / "developers.md")
    failed, run = doctest.testfile(path, module_relative=False)
    assert run > 10
    assert not failed


def test_every_error_kind_has_an_answer_and_a_meaning():
    kinds = set(errors.ErrorKind)
    assert set(errors.ANSWERS) == kinds
    assert set(errors.MEANINGS) == kinds


@pytest.mark.parametrize("page", PAGES, ids=lambda path: path.name)
def test_links_between_pages_lead_somewhere(page):
    links = re.findall(r"\]\((?!https?:|#)([^)#]+)", page.read_text())
    assert [one for one in links if not (page.parent / one).exists()] == []
