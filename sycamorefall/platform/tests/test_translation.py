"""Documents and headers of the platform, read into the product's types."""

import base64
import json

from hypothesis import given, strategies
import pytest

from sycamorefall import errors
from sycamorefall.direct import catalog, dialects
from sycamorefall.platform import documents, headers

GOOD = {
    "Service": "s",
    "Address": "10.0.0.1:80",
    "Zone": "z",
    "Version": "v1",
    "Slots": 4,
    "State": "draining",
    "ColdRemainingMs": 0,
    "Stage": "both",
    "Sequence": 4,
    "born": 1_780_820_851_000,
}
"""An entry as an upstream writes it."""


def encode(value):
    return base64.b64encode(json.dumps(value).encode())


def create_record(value, key="op/config"):
    return translate(key, encode(value).decode())


def translate(key, text):
    return documents.translate_item(documents.Item(key, text, 7, 9))


def test_configuration_is_read():
    route = {
        "Name": "r",
        "Host": "Site.Example",
        "Prefix": "/a/",
        "Kind": "streaming",
        "TimeoutMs": 1500,
        "TargetLatencyMs": 400,
        "StreamResume": True,
        "MaxAttempts": 2,
        "TrafficSplit": [
            {"Service": "new", "Weight": 10},
            {"Service": "old", "Weight": 90},
        ],
    }
    read = documents.decode_catalog(
        create_record(
            {
                "Version": 4,
                "Routes": [route],
                "Services": [{"Name": "old", "MaxConnections": 9}],
                "Limits": {"TokensPerS": 5},
                "Tenants": [{"Name": "mill", "ApiKeys": ["k"]}],
                "Unknown": 1,
            }
        )
    )
    found = catalog.find_route(read, "site.example", "/a/x")
    assert found.kind is catalog.RouteKind.RESUMABLE_STREAM
    assert (found.timeout, found.target_latency) == (1.5, 0.4)
    assert catalog.choose_service(found, 0.05) == "new"
    assert read.teams["k"].name == "mill"
    assert read.requires_key and read.tokens_per_second == 5


def test_rate_of_fetches_follows_from_the_link():
    # A token of 128 KiB over 740 Gbit/s; an engine that names no link can't.
    linked = {
        "Slots": 48,
        "KvCapacityTokens": 444_000,
        "KvTokenBytes": 131_072,
        "LinkMbps": 740_000.0,
    }
    alone = {"Slots": 48, "KvCapacityTokens": 444_000}
    services = [
        {"Name": "linked", "Engine": linked},
        {"Name": "alone", "Engine": alone},
        {"Name": "odd", "Engine": linked | {"KvTokenBytes": 0}},
    ]
    read = documents.decode_catalog(
        create_record({"Version": 1, "Routes": [], "Services": services})
    )
    rates = [read.services[s["Name"]].engine.fetch_rate for s in services]
    assert rates == [pytest.approx(705_719, abs=1), 0.0, 0.0]


@pytest.mark.parametrize(
    "value",
    [
        {},
        {"Version": "x", "Routes": [], "Services": []},
        {"Version": 1, "Routes": [{"Name": "r"}], "Services": []},
    ],
)
def test_unusable_configuration_is_refused_with_a_reason(value):
    with pytest.raises(errors.ConfigurationRefused, match="op/config"):
        documents.decode_catalog(create_record(value))


def test_one_bad_entry_does_not_hide_the_others():
    # One upstream writes nonsense; all others must go on being used.
    records = [
        create_record(GOOD, "servers/a"),
        create_record(GOOD | {"Address": "here"}, "servers/b"),
        translate("servers/c", "%%%"),
    ]
    listing, refused = documents.decode_listing(records, "servers/")
    found = [(one.name, one.leaving) for one in listing.values()]
    assert found == [("a", True)]
    assert len(refused) == 2


@pytest.mark.parametrize(
    "change",
    [
        {"State": "resting"},
        {"State": None},
        {"Slots": "4"},
        {"Slots": 0},
        {"Slots": True},
        {"Sequence": "9"},
        {"ColdRemainingMs": []},
        {"born": "1780820851000"},
        {"born": -5},
        {"Service": 7},
        {"Address": ["10.0.0.1:80"]},
    ],
)
def test_entry_of_another_writer_names_no_upstream(change):
    # Another program writes below the same prefix. Its entry looks like one
    # but for a field, and requests go to an address where nobody serves them.
    records = [
        create_record(GOOD, "servers/a"),
        create_record(GOOD | change, "servers/b"),
    ]
    listing, refused = documents.decode_listing(records, "servers/")
    assert [one.name for one in listing.values()] == ["a"]
    assert (
        refused.keys() == {"servers/b"} and "servers/b" in refused.popitem()[1]
    )


@pytest.mark.parametrize(
    "field", [field for field in GOOD if field not in ("born", "Stage")]
)
def test_entry_without_a_field_names_no_upstream(field):
    # The same, with a field left out.
    rest = {name: value for name, value in GOOD.items() if name != field}
    records = [
        create_record(rest, "servers/b"),
        create_record(GOOD, "servers/a"),
    ]
    listing, refused = documents.decode_listing(records, "servers/")
    assert [one.name for one in listing.values()] == ["a"]
    assert len(refused) == 1


@pytest.mark.parametrize("name", ["", " ", "a\r\nTenant: b", "\u00e9"])
def test_entry_whose_name_fits_no_header_names_no_upstream(name):
    # An upstream's name goes into a header of each request to it. One that
    # ends the line would forge another header.
    records = [create_record(GOOD, f"servers/{name}")]
    listing, refused = documents.decode_listing(records, "servers/")
    assert not listing and len(refused) == 1


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(), inner, max_size=3)
    ),
    max_leaves=5,
)


@given(
    entries=strategies.lists(
        strategies.one_of(
            strategies.dictionaries(
                strategies.sampled_from(sorted(GOOD)), JSON
            ).map(lambda change: encode(GOOD | change)),
            JSON.map(encode),
            strategies.binary().map(lambda data: base64.b64encode(data)),
            strategies.text().map(lambda text: text.encode()),
        ),
        max_size=8,
    ),
    place=strategies.integers(0, 8),
)
def test_no_entry_hides_a_good_one_or_stops_the_router(entries, place):
    # Whatever lies below the prefix, the router goes on, uses the good entry
    # and no broken one.
    records = [
        translate(f"servers/x{n}", text.decode())
        for n, text in enumerate(entries)
    ]
    records.insert(place, create_record(GOOD, "servers/good"))
    listing, refused = documents.decode_listing(records, "servers/")
    assert "good" in [one.name for one in listing.values()]
    assert len(listing) + len(refused) == len(records)
    for one in listing.values():
        assert (
            one.slots >= 1 and one.start_time >= 0 and one.service is not None
        )


@given(
    change=strategies.dictionaries(
        strategies.sampled_from(
            ["Version", "Routes", "Services", "Limits", "Tenants"]
        ),
        JSON,
    )
)
def test_no_configuration_stops_the_router(change):
    # A configuration of any content is taken or refused with a reason.
    value = {"Version": 1, "Routes": [], "Services": []} | change
    try:
        documents.decode_catalog(create_record(value))
    except errors.ConfigurationRefused as fault:
        assert "op/config" in str(fault)


@pytest.mark.parametrize(
    ("status", "named", "outcome"),
    [
        (200, {"server-stamp": "s"}, dialects.ResponseOutcome.SUCCESS),
        (200, {}, dialects.ResponseOutcome.INVALID),
        (
            200,
            {"server-stamp": "s", "content-encoding": "gzip"},
            dialects.ResponseOutcome.INVALID,
        ),
        (500, {"server-stamp": "s"}, dialects.ResponseOutcome.FAILURE),
        (503, {"not-executed": "1"}, dialects.ResponseOutcome.NOT_RUN),
        (429, {"server-stamp": "s"}, dialects.ResponseOutcome.INVALID),
        (421, {}, dialects.ResponseOutcome.OTHER_INCARNATION),
        (302, {}, dialects.ResponseOutcome.FAILURE),
    ],
)
def test_answer_is_judged_by_what_it_promises(status, named, outcome):
    # An upstream's refusal is passed off as "not run" though it doesn't say
    # so, or a proxy's page as its answer: a caller would act on either.
    dialect = headers.create_dialect()
    head = dialect.read_response_head(status, list(named.items()))
    assert head.outcome is outcome


@pytest.mark.parametrize("status", [200, 500, 503, 421, 302])
def test_leaving_is_read_from_answers_of_any_status(status):
    # Guards against missing a shutdown notice in an unsuccessful response.
    named = {"server-leaving": "1", "attempt-id": "1"}
    dialect = headers.create_dialect()
    assert dialect.read_response_head(status, list(named.items())).leaving
    assert not dialect.read_response_head(
        status, [("server-leaving", "0")]
    ).leaving
    assert not dialect.read_response_head(status, []).leaving


@pytest.mark.parametrize(
    ("status", "text", "retry_after"),
    [
        (503, "3", 3.0),
        (503, "0.25", 0.25),
        (503, "0", 0.0),
        (503, "1e9", 1e9),
        (429, "3", None),
        (200, "3", None),
        (503, "-1", None),
        (503, "nan", None),
        (503, "inf", None),
        (503, "soon", None),
        (503, "", None),
        (503, "Fri, 04 Dec 2026 10:00:00 GMT", None),
    ],
)
def test_retry_after_is_read_only_from_503(status, text, retry_after):
    # Guards against an invalid value raising or a valid one being ignored.
    dialect = headers.create_dialect()
    head = dialect.read_response_head(status, [("retry-after", text)])
    assert head.retry_after == retry_after
