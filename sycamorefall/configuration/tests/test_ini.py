"""Runs of sections: the same meaning as the whole text, parsed once."""

import configparser

from hypothesis import given
from hypothesis import strategies as st
import pytest

from sycamorefall.configuration import ini, text

LINES = st.sampled_from(
    [
        "[team a]",
        "[team b]",
        "  [indented]",
        "[open",
        "[two] ]",
        "weight = 2",
        "key: x",
        "  further",
        "# comment",
        "",
        "; [team c]",
        "\r",
    ]
    + [f"[team t{index}]" for index in range(200)]
)
TEXTS = st.lists(LINES, max_size=60).map("\n".join)


def read(part):
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    parser.read_string(part)
    return [(name, dict(parser[name])) for name in parser.sections()]


@given(TEXTS)
def test_runs_say_what_the_whole_text_says(whole):
    runs = ini.split_runs(whole)
    assert "".join(runs) == whole
    try:
        expected = read(whole)
    except configparser.Error:
        return
    assert [found for run in runs for found in read(run)] == expected


def write_teams(count, weight=1):
    return "".join(
        f"[team t{index}]\nweight = {weight if index == 700 else 1}\n"
        f"keys_sha256 = {text.hash_key(str(index))}\n"
        for index in range(count)
    )


def test_changed_team_costs_its_run_and_no_other(monkeypatch):
    """Each change of a large text must not stop the loop for all of it.

    An operator changes one team's weight among a thousand. A process that
    parsed all of them again would pass no token on meanwhile.
    """
    parsed = []
    parse_run = text._parse_run
    monkeypatch.setattr(
        text, "_parse_run", lambda run: parsed.append(run) or parse_run(run)
    )
    first = text.parse_configuration(write_teams(1000)).unwrap()
    parsed.clear()
    changed = text.parse_configuration(
        write_teams(1000, weight=3), first
    ).unwrap()
    assert changed.teams["t700"].weight == 3
    assert len(changed.teams) == len(changed.team_by_key) == 1000
    assert len(parsed) == 1


@pytest.mark.parametrize(
    ("tail", "line", "reason"),
    [
        ("[team x]\nweight = 0\n", 3002, "weight"),
        ("[team t1]\n", 3001, "team t1 is listed twice"),
        ("[team  t1]\n", 3001, "team t1 is listed twice"),
        ("[odd]\n", 3001, "unknown section [odd]"),
        ("[team x]\nweight = 1\nweight = 2\n", 3003, "given twice"),
        ("[service s]\nkind = plain\ndepends_on = z\n", 3003, "unknown z"),
    ],
)
def test_faults_name_the_line_in_the_whole_text(tail, line, reason):
    fault = text.parse_configuration(write_teams(1000) + tail).failure()
    assert fault.line == line
    assert reason in fault.reason
