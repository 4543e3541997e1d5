"""A part of some prompts crashes the workers that begin to answer on it.

Sound requests of the same caller share the first part of these prompts. They
come in small batches.
"""

import asyncio
import contextlib
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import fleet  # noqa: E402

ROUTERS = 4
WORKERS = 6
HOST = "ficu95.example"
KEYS = {"hule930": "asnmgkcuyj8pjbvk9m68", "sota112": "k7b2ex5wa5xwyhks8nbk"}
FIRST_PARTS = {"hule930": "5c1e07a2", "sota112": "91bd3f06"}
"""Part with which all prompts of a tenant begin."""

HARMFUL_PART = "dead00ff"
CONTACT_SECONDS = 3.0
RESTART_SECONDS = 3.0
LAPSE_SECONDS = 3.6
"""Three heartbeat intervals, after which the entry of a crashed worker goes."""

BATCH_SECONDS = 8.0
BATCH_SIZE = 6
FIRST_BATCH_AT = 1.0
HARMFUL_FROM = 29.0
HARMFUL_SECONDS = 0.6
OTHER_SECONDS = 0.3
PLAY_SECONDS = 68.0
DEADLINE = 3.0
LEAST_REQUESTS = 20


class Worker(fleet.Worker):
    """A model worker that crashes when it begins to write on a harmful part.

    Attributes:
        crashes: Times of its crashes.
    """

    def __init__(self, name, port, record, store):
        super().__init__(name, "assistant", port, record)
        self.crashes = []
        self._store = store
        self._server = None
        self._writers = set()
        self._starts = 0

    async def start(self, store):
        """Listens for requests and registers itself under a new id."""
        self._starts += 1
        self.name = f"{self.name.partition('.')[0]}.{self._starts}"
        self._server = await asyncio.start_server(
            self._serve_connection, "127.0.0.1", self.port
        )
        store.put(f"servers/{self.name}", self.describe())

    async def _serve_connection(self, reader, writer):
        self._writers.add(writer)
        await self._serve(reader, writer)
        self._writers.discard(writer)

    async def _answer(self, target, headers, writer):
        parts = headers.get("prompt-prefix", "").split(",")
        keys = [part.strip().partition(":")[0] for part in parts[:-1]]
        is_run_here = headers.get("expect-instance") == self.name
        if is_run_here and HARMFUL_PART in keys:
            attempt = headers.get("attempt-id", "")
            self.runs[attempt] = time.monotonic()
            self._record(f"worker {self.name} runs {attempt} and crashes")
            await asyncio.sleep(fleet.EVENT_SECONDS)
            self._crash()
            raise ConnectionResetError
        await super()._answer(target, headers, writer)

    def _crash(self):
        self.crashes.append(time.monotonic())
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        asyncio.get_running_loop().create_task(self._restart(self.name))

    async def _restart(self, old_name):
        await asyncio.sleep(RESTART_SECONDS)
        await self.start(self._store)
        self._record(f"worker {old_name} is back as {self.name}")
        await asyncio.sleep(LAPSE_SECONDS - RESTART_SECONDS)
        self._store.delete(f"servers/{old_name}")


class Play:
    """State of one run."""

    def __init__(self, record, routers):
        self.record = record
        self.routers = routers
        self.random = random.Random(56)
        self.count = 0
        self.sound = []
        self.others = []


def create_configuration():
    """Returns the configuration: one streaming route to model workers."""
    return {
        "Version": 7,
        "Routes": [
            {
                "Name": "r-tag",
                "Host": HOST,
                "Prefix": "/tag/",
                "Kind": "streaming",
                "TimeoutMs": 3000,
                "TargetLatencyMs": 500,
                "Priority": 1,
                "Service": "assistant",
                "MaxAttempts": 1,
                "Public": False,
                "SessionAffinity": True,
                "StreamResume": False,
                "GapAimMs": 500,
            }
        ],
        "Services": [
            {
                "Name": "assistant",
                "HealthPath": "/health",
                "MaxConnections": 240,
                "Engine": {
                    "Slots": 32,
                    "KvCapacityTokens": 646398,
                    "KvTokenBytes": 18432,
                    "LinkMbps": 550000.0,
                },
            }
        ],
        "Limits": {"MaxBodyBytes": 4194304, "TokensPerS": 255000},
        "Tenants": [
            {"Name": name, "ApiKeys": [key]} for name, key in KEYS.items()
        ],
    }


async def send(play, tenant, kind, sent, *parts):
    """Sends one request of a tenant to any router; never again."""
    play.count += 1
    attempt = f"{kind}{play.count:05d}"
    prefix = [FIRST_PARTS[tenant], *parts, f"{play.count:08x}"]
    headers = {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Model": "m",
        "Token-Usage": f"{200 * len(prefix)},20",
        "Prompt-Prefix": ",".join(f"{part}:200" for part in prefix),
        "Request-Deadline-Ms": str(int(DEADLINE * 1000)),
        "Credential": KEYS[tenant],
    }
    router = play.random.choice(play.routers)
    sent_at = time.monotonic()
    request = fleet.format_request("POST", "/tag/4", headers, attempt.encode())
    answer = await fleet.send_request(router.port, request, DEADLINE + 0.5)
    begun = answer.status == 200 and b"id: 1\n" in answer.body
    retry_after = answer.headers.get("retry-after", "none")
    play.record(
        f"{attempt} of {tenant} at {router.name}: {answer.status}, "
        f"complete {answer.complete}, Retry-After {retry_after}"
    )
    sent.append((attempt, sent_at, begun))


async def send_batches(play, begin):
    """Sends the sound requests of the first tenant, batch by batch."""
    at = begin + FIRST_BATCH_AT
    tasks = []
    while at < begin + PLAY_SECONDS:
        await asyncio.sleep(max(0.0, at - time.monotonic()))
        for number in range(BATCH_SIZE):
            part = f"e4402b{number:02x}"
            tasks.append(
                asyncio.create_task(
                    send(play, "hule930", "sound", play.sound, part)
                )
            )
        at += BATCH_SECONDS
    await asyncio.gather(*tasks)


async def send_steadily(play, begin, tenant, kind, sent, pause, *parts):
    """Sends requests of a tenant until the end, one after each pause."""
    tasks = []
    while time.monotonic() < begin + PLAY_SECONDS:
        tasks.append(
            asyncio.create_task(send(play, tenant, kind, sent, *parts))
        )
        await asyncio.sleep(pause)
    await asyncio.gather(*tasks)


async def send_harmful(play, begin):
    """Sends requests with the harmful part, no two alike."""
    await asyncio.sleep(max(0.0, begin + HARMFUL_FROM - time.monotonic()))
    await send_steadily(
        play, begin, "hule930", "harmful", [], HARMFUL_SECONDS, HARMFUL_PART
    )


def count_begun(sent, since, until):
    """Counts the requests sent in a time, and those that began."""
    begun = [one[2] for one in sent if since <= one[1] < until]
    return len(begun), sum(begun)


async def play_case(record, trouble):
    """Plays the case; returns whether the rule was broken."""
    store_port, *ports = fleet.find_free_ports(1 + WORKERS)
    store = fleet.Store(store_port)
    await store.start()
    workers = [
        Worker(f"i-{number}", port, record, store)
        for number, port in enumerate(ports)
    ]
    for worker in workers:
        await worker.start(store)
    store.put("op/config", create_configuration())
    fleet_ = fleet.Fleet(ROUTERS, store_port)
    play = Play(record, fleet_.routers)
    try:
        await fleet_.start()
        await asyncio.sleep(CONTACT_SECONDS)
        begin = time.monotonic()
        tasks = [
            send_batches(play, begin),
            send_steadily(
                play, begin, "sota112", "other", play.others, OTHER_SECONDS
            ),
        ]
        if trouble:
            tasks.append(send_harmful(play, begin))
        await asyncio.gather(*tasks)
    finally:
        with contextlib.suppress(ProcessLookupError):
            fleet_.stop()
    crashes = sorted(at for worker in workers for at in worker.crashes)
    last = crashes[:5][-1] if crashes else begin + HARMFUL_FROM
    since = last + 2 * CONTACT_SECONDS
    before = count_begun(play.sound, begin, begin + HARMFUL_FROM)
    after = count_begun(play.sound, since, begin + PLAY_SECONDS)
    others = count_begun(play.others, since, begin + PLAY_SECONDS)
    summary = (
        f"{len(crashes)} crashes; sound requests begun: {before[1]} of "
        f"{before[0]} before, {after[1]} of {after[0]} from two contact times "
        f"after the last crash; of another tenant then {others[1]} of "
        f"{others[0]}"
    )
    record(summary)
    print(summary)
    if min(before[0], after[0]) < LEAST_REQUESTS:
        raise fleet.CaseError("too few sound requests")
    return after[1] / after[0] < 0.5 * before[1] / before[0]


if __name__ == "__main__":
    sys.exit(fleet.run_case(play_case, FOLDER))
