"""Translation of the platform's documents and headers."""

import base64
import json

from hypothesis import given, strategies
import pytest

from sycamorefall import errors
from sycamorefall.direct import catalog, dialects
from sycamorefall.platform import documents, headers

VALID_ENTRY = {
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
"""An entry as an upstream writes it, with a field that is ignored (Stage)."""


def encode_json(value):
    return base64.b64encode(json.dumps(value).encode())


def create_record(value, key="op/config"):
    return create_raw_record(key, encode_json(value).decode())


def create_raw_record(key, text):
    return documents.translate_item(documents.Item(key, text, 7, 9), era=1)


def test_configuration_is_decoded():
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
    configuration = documents.decode_catalog(
        create_record(
            {
                "Version": 4,
                "Routes": [route],
                "Services": [
                    {
                        "Name": "old",
                        "MaxConnections": 9,
                        "ColdStartS": 3,
                        "ColdPerS": 13.0,
                    }
                ],
                "Limits": {"TokensPerS": 5},
                "Tenants": [{"Name": "mill", "ApiKeys": ["k"]}],
                "Unknown": 1,
            }
        )
    )
    found = catalog.find_route(configuration, "site.example", "/a/x")
    assert found.kind is catalog.RouteKind.RESUMABLE_STREAM
    assert (found.timeout, found.target_latency) == (1.5, 0.4)
    assert catalog.choose_service(found, 0.05) == "new"
    assert configuration.teams["k"].name == "mill"
    assert configuration.requires_key and configuration.tokens_per_second == 5
    old = configuration.services["old"]
    assert (old.cold_seconds, old.cold_rate) == (3.0, 13.0)


def test_fetch_rate_is_computed_from_the_link():
    # A cached token of 128 KiB is fetched over 740 Gbit/s. Engines without a
    # link rate or a token size can't fetch.
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
    configuration = documents.decode_catalog(
        create_record({"Version": 1, "Routes": [], "Services": services})
    )
    rates = [
        configuration.services[s["Name"]].engine.fetch_rate for s in services
    ]
    assert rates == [pytest.approx(705_719, abs=1), 0.0, 0.0]


@pytest.mark.parametrize(
    "value",
    [
        {},
        {"Version": "x", "Routes": [], "Services": []},
        {"Version": 1, "Routes": [{"Name": "r"}], "Services": []},
    ],
)
def test_invalid_configuration_is_refused_with_a_reason(value):
    with pytest.raises(errors.ConfigurationRefused, match="op/config"):
        documents.decode_catalog(create_record(value))


def test_invalid_entry_does_not_hide_the_others():
    # Guards against an invalid entry of one upstream that makes all others
    # unusable.
    records = [
        create_record(VALID_ENTRY, "servers/a"),
        create_record(VALID_ENTRY | {"Address": "here"}, "servers/b"),
        create_raw_record("servers/c", "%%%"),
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
def test_entry_of_another_program_is_refused(change):
    # Another program writes below the same prefix. Guards against decoding its
    # entry, which is valid except for one field, as an upstream: requests would
    # be sent to an address that can't serve them.
    records = [
        create_record(VALID_ENTRY, "servers/a"),
        create_record(VALID_ENTRY | change, "servers/b"),
    ]
    listing, refused = documents.decode_listing(records, "servers/")
    assert [one.name for one in listing.values()] == ["a"]
    assert (
        refused.keys() == {"servers/b"} and "servers/b" in refused.popitem()[1]
    )


@pytest.mark.parametrize(
    "field", [field for field in VALID_ENTRY if field not in ("born", "Stage")]
)
def test_entry_without_a_required_field_is_refused(field):
    # Guards against the same failure by an entry that lacks one field.
    incomplete = {
        name: value for name, value in VALID_ENTRY.items() if name != field
    }
    records = [
        create_record(incomplete, "servers/b"),
        create_record(VALID_ENTRY, "servers/a"),
    ]
    listing, refused = documents.decode_listing(records, "servers/")
    assert [one.name for one in listing.values()] == ["a"]
    assert len(refused) == 1


@pytest.mark.parametrize("name", ["", " ", "a\r\nTenant: b", "\u00e9"])
def test_entry_with_a_name_unfit_for_headers_is_refused(name):
    # An upstream's name is sent in a header of each request to the upstream. A
    # name with a line break would inject another header.
    records = [create_record(VALID_ENTRY, f"servers/{name}")]
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
                strategies.sampled_from(sorted(VALID_ENTRY)), JSON
            ).map(lambda change: encode_json(VALID_ENTRY | change)),
            JSON.map(encode_json),
            strategies.binary().map(lambda data: base64.b64encode(data)),
            strategies.text().map(lambda text: text.encode()),
        ),
        max_size=8,
    ),
    index=strategies.integers(0, 8),
)
def test_arbitrary_entries_neither_raise_nor_hide_a_valid_one(entries, index):
    # Whatever is stored below the prefix, decoding must not raise. The valid
    # entry must be used, and all invalid ones refused.
    records = [
        create_raw_record(f"servers/x{n}", text.decode())
        for n, text in enumerate(entries)
    ]
    records.insert(index, create_record(VALID_ENTRY, "servers/good"))
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
def test_arbitrary_configuration_is_decoded_or_refused(change):
    # A configuration of any content must be decoded, or refused with a reason.
    value = {"Version": 1, "Routes": [], "Services": []} | change
    try:
        documents.decode_catalog(create_record(value))
    except errors.ConfigurationRefused as error:
        assert "op/config" in str(error)


@pytest.mark.parametrize(
    ("status", "response_headers", "outcome"),
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
def test_response_is_classified_by_status_and_headers(
    status, response_headers, outcome
):
    # Guards against forwarding a refusal that the upstream doesn't confirm as
    # "not run", or a proxy's page as the upstream's response. The caller would
    # act on either.
    dialect = headers.create_dialect()
    head = dialect.read_response_head(status, list(response_headers.items()))
    assert head.outcome is outcome


@pytest.mark.parametrize("status", [200, 500, 503, 421, 302])
def test_leaving_is_read_from_responses_of_any_status(status):
    # Guards against missing a shutdown notice in an unsuccessful response.
    response_headers = {"server-leaving": "1", "attempt-id": "1"}
    dialect = headers.create_dialect()
    assert dialect.read_response_head(
        status, list(response_headers.items())
    ).leaving
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
