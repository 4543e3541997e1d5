"""Any HTTP request is either parsed or refused with a defined error kind."""

import types

import hypothesis
from hypothesis import strategies as st
from returns import result

from sycamorefall import configuration, errors, settings
from sycamorefall.router import request_parsing

TEXT = "[service a]\nkind = engine\n[service b]\nkind = plain\n"
IN_FORCE = configuration.parse_configuration(TEXT).unwrap()

PATHS = st.one_of(
    st.sampled_from(
        (request_parsing.COMPLETIONS_PATH, "/v1/services/b/x", "/v1/services/")
    ),
    st.text(max_size=30),
    st.text(max_size=30).map("/v1/services/".__add__),
)
HEADERS = st.dictionaries(
    st.sampled_from(
        (
            request_parsing.TIMEOUT_HEADER,
            request_parsing.IDEMPOTENT_HEADER,
            request_parsing.COST_HEADER,
            "Content-Type",
            "Idempotency-Key",
        )
    ),
    st.text(max_size=20) | st.floats().map(str) | st.sampled_from(("", "1")),
)
BODIES = st.binary(max_size=60) | st.sampled_from(
    (
        b'{"model": "a", "messages": []}',
        b'{"model": "a", "messages": [], "max_tokens": 1e400}',
        b'{"model": 1}',
        b"[" * 100_000,
        b'{"model": "a", "messages": [' + b"[" * 100_000,
    )
)


@hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=250
)
@hypothesis.given(
    method=st.sampled_from(("GET", "POST", "PUT", "X")),
    path=PATHS,
    query=st.text(max_size=20),
    headers=HEADERS,
    body=BODIES,
)
def test_any_call_is_read_or_refused(method, path, query, headers, body):
    call = types.SimpleNamespace(
        method=method, path=path, query=query, headers=headers, body=body
    )
    read = request_parsing.read_request(
        call, "mill", IN_FORCE, settings.LimitSettings()
    )
    match read:
        case result.Failure(refusal):
            answer = errors.ANSWERS[refusal.kind]
            assert answer.ran is errors.Ran.NO
        case result.Success(new):
            assert new.service in IN_FORCE.services
            assert 0 < new.timeout <= settings.LimitSettings().max_timeout
