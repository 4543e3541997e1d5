"""Prompts that are so long that they hold up the streams of their engine.

The load: most prompts are short and a few take over half a second of prefill,
while each engine runs some streams.
"""

from sycamorefall.direct import catalog
from sycamorefall.direct.tests import fakes


def create_state(**running):
    """Creates a router whose engines run the given numbers of streams."""
    state = fakes.create_state(
        listing=[
            fakes.create_upstream_entry(name, port=port)
            for port, name in enumerate(running, start=1)
        ]
    )
    engine = catalog.Engine(64, 600_000)
    state.catalog.services["engine"] = catalog.Service("engine", 500, engine)
    for name, count in running.items():
        state.table.by_name[name].own_load.running = count
    return state


def test_long_prompt_goes_where_few_streams_run():
    # Guards against streams that pause for over half a second since a long
    # prompt was sent to the engine with the most of them, its home.
    parts = (("paper", 5_000),)
    for home in ("e1", "e2", "e3"):
        running = {"e1": 30, "e2": 30, "e3": 30} | {home: 8}
        state = create_state(**running)
        _, sent = fakes.submit_request(
            state, 0.0, "draft", tokens=50_000, parts=parts
        )
        assert sent.upstream == home


def test_usual_prompt_goes_to_its_home():
    # Guards against shared parts that are computed again because of a few
    # streams more.
    parts = (("paper", 5_000),)
    homes = set()
    for busy in ("e1", "e2", "e3"):
        running = {"e1": 8, "e2": 8, "e3": 8} | {busy: 20}
        state = create_state(**running)
        _, sent = fakes.submit_request(
            state, 0.0, "draft", tokens=12_000, parts=parts
        )
        homes.add(sent.upstream)
    assert len(homes) == 1
