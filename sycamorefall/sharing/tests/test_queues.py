"""Queues of waiting requests, compared with a simple model."""

import hypothesis
from hypothesis import strategies

from sycamorefall.sharing import queues

TEAMS = {"mill-a": 1.0, "mill-b": 3.0, "mill-c": 0.25}

EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["join", "join", "pop", "leave", "back"]),
        strategies.sampled_from(["assistant", "ledger"]),
        strategies.sampled_from(sorted(TEAMS)),
        strategies.integers(0, 20),
    ),
    max_size=150,
)


@hypothesis.given(EVENTS)
def test_queues_match_a_simple_model(events):
    waiting = queues.WaitingQueues()
    model = {}
    popped = {}
    for number, (event, service, team, deadline) in enumerate(events):
        key = service, team
        mine = model.setdefault(key, {})
        if event == "join":
            mine[number] = deadline
            queues.add_request(
                waiting, *key, number, 0.0, deadline, TEAMS[team]
            )
        elif event == "back" and popped.get(key):
            request, until = popped[key].popitem()
            mine[request] = until
            queues.add_request(waiting, *key, request, 0.0, until)
        elif event == "pop":
            earliest = min(mine, key=lambda n: (mine[n], n), default=None)
            assert queues.pop_earliest(waiting, *key) == earliest
            if earliest is not None:
                until = mine.pop(earliest)
                popped.setdefault(key, {})[earliest] = until
        elif event == "leave" and mine:
            newest = queues.peek_newest(waiting, *key)
            assert newest == max(mine)
            until = mine.pop(newest)
            assert queues.remove_request(waiting, *key, newest, until)
            assert not queues.remove_request(waiting, *key, newest, until)
        earlier = sum(until <= deadline for until in mine.values())
        assert queues.count_requests_ahead(waiting, *key, deadline) == earlier
        assert waiting.total == sum(map(len, model.values()))
        assert waiting.queue_count == sum(map(bool, model.values()))
        measures = {k: len(m) / TEAMS[k[1]] for k, m in model.items() if m}
        longest = queues.find_longest_queue(waiting)
        if not measures:
            assert longest is None
        else:
            assert measures[longest] == max(measures.values())


def test_longest_queue_is_found_without_measuring_all_queues(monkeypatch):
    """A full router compared the queues of all 3,100 teams for each request.

    Every request took milliseconds just when the router was busiest. The test
    counts the queues whose length is computed, not the time.
    """
    waiting = queues.WaitingQueues()
    for number in range(6200):
        team = f"team-{number % 3100}"
        queues.add_request(waiting, "a", team, number, 0.0, 1.0)
    measured = []
    compute = queues._compute_heap_key
    monkeypatch.setattr(
        queues,
        "_compute_heap_key",
        lambda queue: measured.append(1) or compute(queue),
    )
    for number in range(7000, 8000):
        queues.add_request(waiting, "a", "flood", number, 0.0, 1.0)
        service, team = queues.find_longest_queue(waiting)
        newest = queues.peek_newest(waiting, service, team)
        queues.remove_request(waiting, service, team, newest, 1.0)
    # Once per thousand requests the heap is rebuilt from all queues.
    assert len(measured) < 1000 * 6 + 2 * 3101
    assert (
        len(waiting.length_heap)
        <= 2 * waiting.queue_count + queues.MAX_STALE_ENTRIES + 1
    )
