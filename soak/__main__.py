"""Runs the soak: python -m soak --seeds 3 --seconds 60."""

import argparse
import asyncio
import collections
import json
import pathlib
import signal
import sys
import tempfile
import time

from soak import callers, fleet, lifecycle, verdict

KINDS = (
    callers.Kind("report", 0.25, 8.0, (4, 96), 16_000, repeatable=True),
    callers.Kind("draft", 0.15, 15.0, (8, 90), 12_000),
    callers.Kind("transcript", 0.15, 9.0, (60, 150), 8_000, repeatable=True),
    callers.Kind("summary", 0.15, 5.0, (2, 40), 9_000),
    callers.Kind("question", 0.2, 10.0, (4, 80), 1_500, repeatable=True),
    callers.Kind("booking", 0.15, 3.0, None, 600),
    callers.Kind("status", 0.1, 3.0, None, 0, repeatable=True),
)

FAULTS = (
    "silence",
    "links",
    "entries",
    "freeze",
    "kill",
    "store",
    "late",
    "upstreams",
)


class Run:
    """One seed of the soak: planned work in series and faults beside it.

    Attributes:
        fleet: The processes.
        faults: Names of the faults.
        seconds: How long callers send requests.
        random: Draws what is done and when.
        outcomes: What callers saw.
        broken: See `verdict.judge`.
        silent: See `verdict.judge`.
        events: What was done, and at which second.
        began_at: When callers began, by the machine's monotonic clock.
    """

    def __init__(self, running: fleet.Fleet, faults: list[str], seconds: float):
        self.fleet = running
        self.faults = faults
        self.seconds = seconds
        self.random = running.random
        self.outcomes: list[callers.Outcome] = []
        self.broken: list[tuple[str, float, float]] = []
        self.silent: list[tuple[str, float, float]] = []
        self.events: list[tuple[float, str]] = []
        self.began_at = 0.0

    async def play(self) -> None:
        """Runs callers, planned work and faults side by side."""
        await asyncio.to_thread(self._wait_until_ready)
        self.began_at = time.monotonic()
        ends_at = self.began_at + self.seconds
        size = self.fleet.size
        everyone = [
            callers.Caller(
                number + 1,
                list(self.fleet.kinds.values()),
                self.random.random(),
                self.fleet.choose_router,
                self.outcomes,
                size.pause,
            )
            for number in range(size.callers)
        ]
        tasks = [asyncio.create_task(one.run(ends_at)) for one in everyone]
        steps = [self._tend, self._plan]
        beside = [name for name in self.faults if name != "late"]
        steps += [getattr(self, f"_{name}") for name in beside]
        background = [asyncio.create_task(step(ends_at)) for step in steps]
        await asyncio.gather(*tasks)
        await asyncio.gather(*background)

    def _wait_until_ready(self) -> None:
        deadline = time.monotonic() + 30
        while any(one.misses for one in self.fleet.routers):
            if time.monotonic() > deadline:
                raise TimeoutError("routers don't get ready")
            self.fleet.check_ready()
            time.sleep(0.1)

    def _note(self, what: str) -> None:
        self.events.append((time.monotonic() - self.began_at, what))

    async def _tend(self, ends_at: float) -> None:
        """Asks for readiness each second; ends and restarts processes."""
        due = 0.0
        while time.monotonic() < ends_at + 1.0:
            now = time.monotonic()
            for router in self.fleet.routers:
                count = len(router.ended)
                router.tend(now)
                if len(router.ended) > count:
                    self._note(f"{router.name} ended {router.ended[-1]}")
            if now >= due:
                due = now + 1.0
                await asyncio.to_thread(self.fleet.check_ready)
            await asyncio.sleep(0.02)

    async def _plan(self, ends_at: float) -> None:
        """Stops routers, changes the configuration, sends SIGHUP, in series."""
        await asyncio.sleep(3.0)
        while time.monotonic() < ends_at - 2.0:
            router = self.random.choice(self.fleet.routers)
            what = self.random.choices(
                ("stop", "stop twice", "hup", "configuration", "hup and stop"),
                (5, 1, 2, 3, 1),
            )[0]
            others = sum(one.is_stopping() for one in self.fleet.routers)
            if "stop" in what and 2 * others >= len(self.fleet.routers):
                what = "configuration"
            self._note(f"{what} {router.name}")
            if "hup" in what and router.misses == 0:
                router.running.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(self.random.random() * 0.01)
            if "stop" in what and router.misses == 0:
                await self._stop(router)
                if what == "stop twice":
                    await asyncio.sleep(self.random.random() * 4)
                    if router.is_stopping():
                        router.stop(time.monotonic())
            if what == "configuration":
                self.fleet.put_configuration()
            await asyncio.sleep(self.random.expovariate(1 / 1.2))

    async def _stop(self, router: fleet.Router) -> None:
        """Sends SIGTERM; a late router stands still for a while from then on.

        Its losses count like those of any other: a process that wasn't
        scheduled as its signal came has no excuse.
        """
        process = router.running.process
        if "late" not in self.faults or router.is_stopping():
            router.stop(time.monotonic())
            return
        process.send_signal(signal.SIGSTOP)
        router.stop(time.monotonic())
        for_s = self.random.uniform(0.3, 1.5)
        self._note(f"late {router.name} {for_s:.2f}")
        await asyncio.sleep(for_s)
        process.send_signal(signal.SIGCONT)

    async def _silence(self, ends_at: float) -> None:
        """Stops upstreams for a while, as a machine short of time does."""
        while time.monotonic() < ends_at - 5.0:
            await asyncio.sleep(self.random.expovariate(1 / 3.0))
            name = self._choose_place().upstream
            process = self.fleet.upstreams[name]
            for_s = self.random.choice((0.6, 1.2, 1.8, 2.5, 4.5))
            self._note(f"silence {name} {for_s}")
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            process.send_signal(signal.SIGCONT)

    async def _links(self, ends_at: float) -> None:
        """Delays, silences and resets links between routers and upstreams."""
        self.fleet.command_upstream_links("delay 0.002")
        while time.monotonic() < ends_at - 5.0:
            await asyncio.sleep(self.random.expovariate(1 / 3.0))
            place = self._choose_place()
            name, port = place.upstream, place.link
            kind = self.random.choice(("silence", "back", "forth", "reset"))
            for_s = self.random.choice((0.6, 1.2, 2.5))
            now = time.monotonic()
            if kind == "reset":
                self.broken.append((name, now - 0.1, now + 0.3))
                self.fleet.command_upstream_links(f"reset {port}")
            else:
                self.silent.append((name, now, now + for_s))
                self.fleet.command_upstream_links(f"{kind} {port} {for_s}")
            self._note(f"link {kind} {name} {for_s}")

    async def _entries(self, ends_at: float) -> None:
        """Delays the links between callers and routers."""
        while time.monotonic() < ends_at - 5.0:
            delay = self.random.choice((0.001, 0.003, 0.02, 0.1))
            self.fleet.command_entries(f"delay {delay}")
            self._note(f"callers' links {delay}")
            await asyncio.sleep(self.random.expovariate(1 / 5.0))

    async def _freeze(self, ends_at: float) -> None:
        """Stops a router's process for a moment, without excuse."""
        while time.monotonic() < ends_at - 5.0:
            await asyncio.sleep(self.random.expovariate(1 / 6.0))
            router = self.random.choice(self.fleet.routers)
            process = router.running.process
            for_s = self.random.uniform(0.1, 1.4)
            self._note(f"freeze {router.name} {for_s:.1f}")
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            process.send_signal(signal.SIGCONT)

    async def _kill(self, ends_at: float) -> None:
        """Kills routers without warning; losses there are excused."""
        while time.monotonic() < ends_at - 5.0:
            await asyncio.sleep(self.random.expovariate(1 / 8.0))
            router = self.random.choice(self.fleet.routers)
            now = time.monotonic()
            self._note(f"kill {router.name}")
            router.disturbed.append((now, now + 1.0))
            router.running.process.kill()

    def _choose_place(self) -> fleet.Place:
        return self.random.choice(
            [one for one in self.fleet.places if one.upstream]
        )

    async def _upstreams(self, ends_at: float) -> None:
        """Changes upstreams, one VM's after the other or side by side."""
        tasks = []
        while time.monotonic() < ends_at - 8.0:
            await asyncio.sleep(self.random.expovariate(1 / 2.0))
            place = self.random.choice(self.fleet.places)
            if place.changing:
                continue
            change = lifecycle.choose_change(self.fleet, place)
            self._note(f"{change.__name__} {place.name} {place.upstream}")
            tasks.append(
                asyncio.create_task(
                    lifecycle.perform(self.fleet, place, change, self.broken)
                )
            )
        await asyncio.gather(*tasks)

    async def _store(self, ends_at: float) -> None:
        """Takes the store away for some seconds."""
        while time.monotonic() < ends_at - 8.0:
            await asyncio.sleep(self.random.expovariate(1 / 5.0))
            for_s = self.random.uniform(1.0, 6.0)
            self._note(f"store away {for_s:.1f}")
            self.fleet.site.store.unavailable = True
            await asyncio.sleep(for_s)
            self.fleet.site.store.unavailable = False


def _parse_faults(text: str) -> list[str]:
    names = [name for name in text.split(",") if name]
    if unknown := sorted(set(names) - set(FAULTS)):
        raise argparse.ArgumentTypeError(f"unknown: {', '.join(unknown)}")
    return names


def main() -> int:
    """Runs the seeds and prints a verdict for each; 1 if a promise broke."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument(
        "--faults",
        type=_parse_faults,
        default="silence,links,entries,store,late,freeze,upstreams",
        help=f"any of {', '.join(FAULTS)}, separated by commas",
    )
    parser.add_argument("--folder", type=pathlib.Path)
    for name, default in (
        ("routers", 5),
        ("engines", 9),
        ("slots", 48),
        ("plain", 3),
        ("callers", 150),
    ):
        parser.add_argument(f"--{name}", type=int, default=default)
    parser.add_argument("--pause", type=float, default=1.0)
    options = parser.parse_args()
    # The processes of a run end with it, also if it is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit("stopped"))
    failed = False
    for seed in range(options.first, options.first + options.seeds):
        failed |= _run_seed(seed, options)
    return int(failed)


def _run_seed(seed: int, options: argparse.Namespace) -> bool:
    size = fleet.Size(
        options.routers,
        options.engines,
        options.slots,
        options.plain,
        options.callers,
        options.pause,
    )
    folder = options.folder or pathlib.Path(tempfile.mkdtemp())
    folder = folder / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    kinds = {kind.route: kind for kind in KINDS}
    with fleet.Fleet(folder, size, kinds, seed) as running:
        run = Run(running, options.faults, options.seconds)
        asyncio.run(run.play())
        time.sleep(0.3)
        found = verdict.judge(
            run.outcomes,
            running.read_runs(),
            running.routers,
            run.broken,
            run.silent,
            running.read_ends(),
        )
    _print_verdict(seed, run, found, folder)
    odd_ends = [
        one
        for router in run.fleet.routers
        for one in router.ended
        if fleet.is_odd_end(one)
    ]
    return bool(found.lost or found.others or odd_ends)


def _print_verdict(seed, run, found, folder) -> None:
    ended = [one for router in run.fleet.routers for one in router.ended]
    stops = [since for status, since, asked in ended if asked]
    print(
        json.dumps(
            {
                "seed": seed,
                "requests": len(run.outcomes),
                "came to": found.counts,
                "lost": len(found.lost),
                "other promises": collections.Counter(
                    name for name, _, _ in found.others
                ),
                "excused": found.excused,
                "stops": len(stops),
                "longest stop": round(max(stops, default=0.0), 2),
                "killed at the end": sum(
                    since >= fleet.GRACE for since in stops
                ),
                "odd ends": [one for one in ended if fleet.is_odd_end(one)],
                "largest memory": round(
                    max(one.max_memory for one in run.fleet.routers)
                ),
                "folder": str(folder),
            }
        ),
        flush=True,
    )
    with open(folder / "events", "w") as log:
        log.writelines(f"{at:.3f} {what}\n" for at, what in run.events)
    with open(folder / "lost", "w") as log:
        for name, outcome, runs in (
            *(("LOST", *one) for one in found.lost),
            *found.others,
        ):
            began = run.began_at
            line = (
                f"{name} {outcome.request} {outcome.kind.route} "
                f"{outcome.router} {outcome.manner} {outcome.status} "
                f"{outcome.sent_at - began:.3f} {outcome.ended_at - began:.3f} "
                f"{outcome.error} "
                f"{[(a, b, round(c - began, 3)) for a, b, c in runs]}"
            )
            log.write(line + "\n")
            print(line, flush=True)


if __name__ == "__main__":
    sys.exit(main())
