"""Any text is either accepted or refused with a line; none causes a crash."""

from hypothesis import example, given, strategies
import pytest
from returns import result

from sycamorefall.configuration import documents
from sycamorefall.configuration import text as text_module

VALID = """\
[limits]
retries = 1

[service assistant]
kind = engine
depends_on = ledger
idempotent = yes

[service ledger]
kind = plain
concurrency = 4

[team mill-a]
weight = 2.5
keys_sha256 =
    {}
    {}

[team mill-b]
keys_sha256 = {}
""".format(*(str(digit) * 64 for digit in range(3)))

FRAGMENTS = strategies.sampled_from(
    [
        *VALID.splitlines(keepends=True),
        "[",
        "]",
        "=",
        "\n",
        " ",
        "%(x)s",
        "\x00",
        "\x0c",
        "\r",
        "\u2028",
        "\ufeff",
        "\ud800",
        "[DEFAULT]\n",
        "[team ]\n",
        "kind = odd\n",
        "concurrency = 1e999\n",
        "weight = nan\n",
        "depends_on = assistant\n",
    ]
)


def check(text):
    """Parses a text; it must be accepted, or refused with one of its lines."""
    parsed = text_module.parse_configuration(text)
    assert isinstance(parsed, result.Success | result.Failure)
    if isinstance(parsed, result.Failure):
        error = parsed.failure()
        assert 0 <= error.line <= text.count("\n") + 1
        assert error.reason
        assert "\n" not in str(error)
    return parsed


@given(strategies.text())
@example("[service a]\nkind = plain\ndepends_on = a\n")
@example("[a\n")
def test_arbitrary_text_never_crashes(text):
    check(text)


@given(strategies.lists(FRAGMENTS, max_size=30).map("".join))
def test_fragments_in_any_order_never_crash(text):
    check(text)


@given(
    strategies.integers(0, len(VALID)),
    strategies.integers(0, 40),
    FRAGMENTS | strategies.text(max_size=5),
)
def test_damaged_text_never_crashes(start, length, fragment):
    check(VALID[:start] + fragment + VALID[start + length :])


@given(strategies.lists(FRAGMENTS, max_size=30).map("".join))
def test_result_does_not_depend_on_how_a_text_is_split(text):
    # One process parses the whole text, another the blocks that it fetched. If
    # the results differed, a part of the fleet would refuse the text.
    whole = text_module.parse_blocks([text])
    blocks = documents.split_blocks(text)
    split = text_module.parse_blocks(block.text for block in blocks)
    assert type(whole) is type(split)
    if isinstance(whole, result.Success):
        assert whole == split


def test_valid_text_is_accepted():
    configuration = check(VALID).unwrap()
    assert configuration.teams["mill-a"].weight == 2.5
    assert configuration.limits.retries == 1
    assert len(configuration.team_by_key) == 3


def test_error_in_a_late_block_gives_its_line_in_the_whole_text():
    teams = [f"[team t{index}]\nweight = 1\n" for index in range(500)]
    teams[400] = "[team t400]\nweight = none\n"
    assert len(documents.split_blocks("".join(teams))) > 3
    assert check("".join(teams)).failure().line == 802


@pytest.mark.parametrize("length", [3, 3000])
def test_dependency_cycle_of_any_length_is_refused(length):
    # A generated text may chain thousands of services. A recursive check would
    # exceed the recursion limit and crash every process of the fleet.
    services = [
        f"[service s{index}]\nkind = plain\n"
        f"depends_on = s{(index + 1) % length}\n"
        for index in range(length)
    ]
    assert "cycle" in check("".join(services)).failure().reason
    open_ended = "".join(services[:-1]) + services[-1].replace("s0", "last")
    text = open_ended + "[service last]\nkind = plain\n"
    assert isinstance(check(text), result.Success)


def test_duplicate_section_in_another_block_is_refused():
    teams = [f"[team t{index}]\n" for index in range(500)]
    text = "".join([*teams, "[team t0]\n"])
    assert "t0 is listed twice" in check(text).failure().reason
