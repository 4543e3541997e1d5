"""Documents and headers of the platform, read into the product's types."""

import base64
import json

import pytest

from sycamorefall import errors
from sycamorefall.direct import catalog, dialects
from sycamorefall.platform import documents, headers


def create_item(value, key="op/config"):
    text = base64.b64encode(json.dumps(value).encode()).decode()
    return documents.Item(key, text, 7)


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
        create_item(
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
    assert read.keyed and read.tokens_per_second == 5


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
        create_item({"Version": 1, "Routes": [], "Services": services})
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
        documents.decode_catalog(create_item(value))


def test_one_bad_entry_does_not_hide_the_others():
    # One upstream writes nonsense; all others must go on being used.
    good = {
        "Service": "s",
        "Address": "10.0.0.1:80",
        "Zone": "z",
        "Slots": 4,
        "State": "draining",
    }
    items = [
        create_item(good, "servers/a"),
        create_item(good | {"Address": "here"}, "servers/b"),
        documents.Item("servers/c", "%%%"),
    ]
    listing, refused = documents.decode_listing(items, "servers/")
    assert [(one.name, one.leaving) for one in listing] == [("a", True)]
    assert len(refused) == 2


@pytest.mark.parametrize(
    ("status", "named", "verdict"),
    [
        (200, {"server-stamp": "s"}, dialects.Verdict.SUCCESS),
        (200, {}, dialects.Verdict.INVALID),
        (
            200,
            {"server-stamp": "s", "content-encoding": "gzip"},
            dialects.Verdict.INVALID,
        ),
        (500, {"server-stamp": "s"}, dialects.Verdict.FAILURE),
        (503, {"not-executed": "1"}, dialects.Verdict.NOT_RUN),
        (429, {"server-stamp": "s"}, dialects.Verdict.INVALID),
        (421, {}, dialects.Verdict.OTHER_INCARNATION),
        (302, {}, dialects.Verdict.FAILURE),
    ],
)
def test_answer_is_judged_by_what_it_promises(status, named, verdict):
    # An upstream's refusal is passed off as "not run" though it doesn't say
    # so, or a proxy's page as its answer: a caller would act on either.
    dialect = headers.create_dialect()
    head = dialect.read_answer(status, list(named.items()))
    assert head.verdict is verdict
