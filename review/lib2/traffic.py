"""Clients of several tenants, and the rule FAIR.

"In six calm seconds a tenant has, in each second, a request that is refused or
waits past its aim, and gets less than half of what it asked or the best served
tenant got, whichever is less, second by second (less three of the largest
requests); runs count where they begin."
"""

__all__ = ["Traffic", "Tenant"]

import collections
from collections.abc import Callable
import concurrent.futures
import dataclasses
import random
import threading
import time

from lib2 import site as site_module

CALM_SECONDS = 6
"""Length of the span in which each second has to break the rule."""

SPARED_REQUESTS = 3
"""Requests of a second by which the rule lets a tenant fall short."""

RETRY_SHARE = 1 / 3
"""Largest part of the time left that a client waits as Retry-After asks."""


@dataclasses.dataclass(frozen=True)
class Tenant:
    """A tenant's clients, which all send the same kind of request.

    Attributes:
        name: Name of the tenant.
        path: Path of the requests.
        clients: Number of clients.
        pause: Range of the seconds between two requests of a client.
        time_left_ms: Deadline of the requests.
        write_body: Writes a body, given the numbers of client and request.
    """

    name: str
    path: str
    clients: int
    pause: tuple[float, float]
    time_left_ms: int = 3000
    write_body: Callable[[int, int], bytes] = lambda client, number: (
        f"question {client}/{number}".encode()
    )


class Traffic:
    """Requests of tenants to the routers of a site, counted second by second.

    A client whose request is refused repeats it once, at another router, if it
    is told when.
    """

    def __init__(self, site: site_module.Site, tenants: list[Tenant]):
        """Creates the traffic, which doesn't run yet."""
        self._site = site
        self._tenants = tenants
        self._lock = threading.Lock()
        self._began = time.monotonic()
        self._asked: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self._refused: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self._begun: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self._served: collections.Counter[str] = collections.Counter()
        site.on_run = self._record_run

    def _count(self, counter, tenant: str) -> None:
        second = int(time.monotonic() - self._began)
        with self._lock:
            counter[tenant, second] += 1

    def _record_run(self, tenant: str) -> None:
        self._count(self._begun, tenant)

    def run(self, duration: float, disturb: Callable[[], None]) -> None:
        """Sends requests for some seconds.

        Args:
            duration: The seconds.
            disturb: Called meanwhile; brings the disruption about.
        """
        self._began = time.monotonic()
        until = self._began + duration
        numbers = [
            (tenant, number)
            for tenant in self._tenants
            for number in range(tenant.clients)
        ]
        with concurrent.futures.ThreadPoolExecutor(len(numbers)) as pool:
            clients = [
                pool.submit(self._act, tenant, number, until)
                for tenant, number in numbers
            ]
            disturb()
            for client in clients:
                client.result()

    def _act(self, tenant: Tenant, client: int, until: float) -> None:
        draws = random.Random(f"{tenant.name}/{client}")
        number = 0
        while time.monotonic() < until:
            number += 1
            body = tenant.write_body(client, number)
            began = time.monotonic()
            router = client
            answer = self._send(tenant, router, body, tenant.time_left_ms)
            delay = _read_retry_after(answer)
            passed_ms = (time.monotonic() - began) * 1000
            left_ms = int(tenant.time_left_ms - passed_ms)
            if delay is not None and delay * 1000 <= left_ms * RETRY_SHARE:
                time.sleep(delay)
                left_ms -= int(delay * 1000)
                self._send(tenant, router + 1, body, left_ms)
            time.sleep(draws.uniform(*tenant.pause))

    def _send(
        self, tenant: Tenant, router: int, body: bytes, left_ms: int
    ) -> site_module.Answer:
        routers = self._site.routers
        self._count(self._asked, tenant.name)
        answer = self._site.send(
            routers[router % len(routers)],
            tenant.path,
            is_prompt=True,
            key=site_module.TENANTS[tenant.name],
            time_left_ms=left_ms,
            body=body,
        )
        if answer.status == 200:
            with self._lock:
                self._served[tenant.name] += 1
        elif answer.status in (429, 503):
            self._count(self._refused, tenant.name)
        return answer

    def is_unfair(self, name: str, calm_from: float, calm_until: float) -> bool:
        """Returns whether a tenant is treated as the rule FAIR forbids.

        Args:
            name: Name of the tenant.
            calm_from: Seconds after the start from which on nothing disturbs.
            calm_until: Seconds after the start until which it is so.
        """
        others = [one.name for one in self._tenants if one.name != name]
        run_length = longest = 0
        for second in range(int(calm_from) + 1, int(calm_until)):
            asked = self._asked[name, second]
            got = self._begun[name, second]
            best = max(self._begun[one, second] for one in others)
            due = (min(asked, best) - SPARED_REQUESTS) / 2
            is_short = self._refused[name, second] > 0 and got < due
            run_length = run_length + 1 if is_short else 0
            longest = max(longest, run_length)
            self._site.note(
                "second",
                f"{second}: {name} asked {asked}, had "
                f"{self._refused[name, second]} refused, got {got}; "
                f"the best served tenant got {best}",
            )
        self._site.note("result", f"{longest} unfair seconds in a row")
        for one in self._tenants:
            asked = sum(
                count
                for (tenant, _), count in self._asked.items()
                if tenant == one.name
            )
            served = self._served[one.name]
            self._site.note("result", f"{one.name}: {served} of {asked} served")
        return longest >= CALM_SECONDS


def _read_retry_after(answer: site_module.Answer) -> float | None:
    """Returns the Retry-After of a refusal; None if there is none."""
    if answer.status not in (429, 503):
        return None
    text = answer.headers.get("retry-after")
    return None if text is None else float(text)
