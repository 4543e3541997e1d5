"""One router and upstreams that fall silent, vanish, restart and leave.

The world is the truth about the upstreams' processes. The router learns of it
only from the listing, from the bytes that it receives and from the ends of its
attempts. Time passes in steps of `STEP`.
"""

import dataclasses
import math

from sycamorefall.direct import (
    core,
    effects,
    local_failures,
    outcomes,
    upstreams,
)
from sycamorefall.direct.tests import fakes
from sycamorefall.direct.tests.silent_processes import (
    STREAM_TIMEOUT,
    Call,
    Process,
    Run,
    Send,
    create_catalog,
)

STEP = 0.05

SERVICES = ("engine", "ledger")

ENTRY_LIFETIME = 3.6
"""Seconds after its process's end at which an entry leaves the listing."""

READ_INTERVAL = 0.25
"""Seconds between two reads of the listing by the router."""

FIRST_EVENT_DELAY = 0.1

EVENT_INTERVAL = 0.2

UNOPENED = "unopened"
"""Fate of a send for which the router's VM opens no connection."""

DECLINED = (
    outcomes.AttemptEnd.NOT_RUN,
    outcomes.AttemptEnd.NOT_SENT,
    outcomes.AttemptEnd.OTHER_INCARNATION,
    UNOPENED,
)


class World:
    """A router's state and the truth about the upstreams.

    Attributes:
        calls: Requests without an answer, by number.
        observe: Called with this world and the effects that the router has
            decided, before they are carried out.
        watch: Called with this world after each step.
        fates: Ends that the next sends meet.
    """

    def __init__(self, observe, watch, **bounds):
        self.now, self.steps, self.read_at = 0.0, 0, 0.0
        self.observe, self.watch = observe, watch
        self.processes, self.calls, self.fates = [], {}, []
        self.requests, self.retries = [], []
        self.full, self.started = set(), 0
        self.linked, self.version = True, 1
        self.keys = ("mill", "trader")
        self.services = SERVICES
        for service in ("engine", "engine", "engine", "ledger", "ledger"):
            self.start_process(service)
        self.state = fakes.create_state(0.0, self.list_entries(), **bounds)
        self.applied = {one.name: one for one in self.list_entries()}
        self.configure(self.keys, self.services)

    def start_process(self, service, name=None):
        self.started += 1
        entry = fakes.create_upstream_entry(
            name or f"{service}-{self.started}",
            service,
            port=self.started,
            listed_revision=self.started,
            start_time=self.started,
        )
        self.processes.append(Process(entry, heard_at=self.now))

    def list_entries(self):
        return [one.entry for one in self.processes if one.listed]

    def list_live(self, service=None):
        return [
            one
            for one in self.processes
            if one.alive and service in (None, one.entry.service)
        ]

    def find_process(self, attempt):
        return next(
            one
            for one in self.processes
            if (one.name, one.entry.start_time)
            == (attempt.upstream, attempt.start_time)
        )

    def is_known_gone(self, send):
        """Returns whether the router can know that a run will not go on."""
        process = send.process
        known = self.applied.get(process.name)
        if known is not None:
            return known.start_time != process.entry.start_time
        quiet_since = max(process.heard_at, send.at)
        return self.now - quiet_since >= ENTRY_LIFETIME - 1e-6

    # What the router does.

    def submit(self, route, team, time_left, work, tokens=500):
        incoming = fakes.create_request(route, team, time_left, tokens)
        service = "engine" if incoming.prompt else "ledger"
        number = self.state.last_number + 1
        timeout = STREAM_TIMEOUT if incoming.prompt else 3.0
        deadline = self.now + min(timeout, time_left)
        self.calls[number] = Call(number, route, team, service, deadline, work)
        self.requests.append((self.now, service))
        _, pending = core.handle_request(self.state, self.now, incoming)
        self.perform(pending)

    def perform(self, pending):
        """Carries effects out, as the shell and the processes would."""
        self.observe(self, pending)
        for effect in pending:
            match effect:
                case effects.SendRequest():
                    self._send(self.calls[effect.request])
                case effects.AbortAttempt():
                    call = self.calls[effect.request]
                    gone = self.is_known_gone(call.current)
                    self._end_send(call, "gone" if gone else "silent")
                case (
                    effects.AnswerError()
                    | effects.AbortResponse()
                    | effects.ForwardResponse()
                ):
                    call = self.calls.pop(effect.request)
                    if call.current:
                        self._end_send(call, "left")

    def _send(self, call):
        attempt = self.state.requests[call.number].attempt
        send = Send(self.find_process(attempt), self.now)
        if any(
            one.end not in (outcomes.AttemptEnd.NOT_SENT, UNOPENED)
            for one in call.sends
        ):
            self.retries.append((self.now, call.service))
        call.sends.append(send)
        process = send.process
        if not process.alive and process.resets:
            send.fate = outcomes.AttemptEnd.NOT_SENT
        elif self.fates and (
            self.fates[0] is not outcomes.AttemptEnd.NOT_RUN
            or process.sends(self.now)
        ):
            send.fate = self.fates.pop(0)
        else:
            process.runs[call.number] = Run(
                call.work, self.now + FIRST_EVENT_DELAY
            )

    def _end_send(self, call, end):
        send = call.current
        send.end = end
        send.process.runs.pop(call.number, None)

    def end_run(self, number, end):
        """Ends a run by its upstream, or a send that didn't reach it."""
        call = self.calls[number]
        self._end_send(call, end)
        if end is UNOPENED:
            pending = local_failures.end_unopened_attempt(
                self.state, self.now, number
            )
        else:
            pending = outcomes.end_attempt(self.state, self.now, number, end)
        if end is outcomes.AttemptEnd.COMPLETE:
            del self.calls[number]
        self.perform(pending)

    def cancel(self, number):
        call = self.calls.pop(number)
        if call.current:
            self._end_send(call, "left")
        core.cancel_request(self.state, number, self.now)

    def configure(self, keys, services):
        self.version += 1
        self.keys, self.services = keys, services
        new = create_catalog(self.version, keys, services)
        self.perform(core.apply_catalog(self.state, self.now, new))

    def read_platform(self):
        entries = self.list_entries()
        self.applied = {one.name: one for one in entries}
        core.apply_listing(self.state, self.now, entries)
        core.record_proof(self.state, self.now, self.now)

    # What the processes do.

    def fall_silent(self, process, seconds, frozen=False):
        """Silences a process; a frozen one doesn't renew its entry either."""
        until = self.now + STEP + seconds
        process.silent_until = max(process.silent_until, until)
        process.was_silent = True
        if frozen and process.listed and not process.frozen:
            process.frozen = True
            process.unlisted_at = self.now + ENTRY_LIFETIME

    def vanish(self, process, resets):
        """Ends a process; its connections are reset or stay open."""
        process.alive, process.resets = False, resets
        process.unlisted_at = min(
            process.unlisted_at, self.now + ENTRY_LIFETIME
        )
        if resets:
            while process.runs:
                number = next(iter(process.runs))
                self.end_run(number, outcomes.AttemptEnd.BROKEN)

    def restart(self, process):
        """Restarts a process behind a partition, so nothing is reset."""
        process.alive = process.listed = False
        process.unlisted_at = math.inf
        self.start_process(process.entry.service, process.name)

    def leave(self, process, announced):
        """Takes a process out of use; it serves on."""
        if announced and not process.entry.leaving:
            process.entry = dataclasses.replace(process.entry, leaving=True)
        else:
            process.listed = False
            process.unlisted_at = math.inf

    def fill(self, names, full):
        self.full = self.full | names if full else self.full - names

    def wait(self, steps):
        for _ in range(steps):
            self.steps += 1
            self.now = round(self.steps * STEP, 2)
            self._meet_fates()
            for process in list(self.processes):
                self._progress(process)
            if self.linked and self.now >= self.read_at + READ_INTERVAL:
                self.read_at = self.now
                self.read_platform()
            for name, one in self.state.table.by_name.items():
                one.peer_load = upstreams.Load(8 if name in self.full else 0)
            self.perform(core.run_timers(self.state, self.now))
            self.watch(self)

    def _meet_fates(self):
        for number, call in list(self.calls.items()):
            if call.current and call.current.fate is not None:
                self.end_run(number, call.current.fate)

    def _progress(self, process):
        if self.now >= process.unlisted_at:
            process.listed = False
        if not process.sends(self.now):
            return
        if process.frozen:
            process.listed |= self.now >= process.unlisted_at
            process.frozen, process.unlisted_at = False, math.inf
        for number, run in list(process.runs.items()):
            if number not in process.runs:
                continue
            run.work -= STEP
            self._send_bytes(process, number, run)
            if run.work <= 0:
                self.end_run(number, outcomes.AttemptEnd.COMPLETE)
        if process.runs:
            process.was_silent = False

    def _send_bytes(self, process, number, run):
        """Sends an event of a stream, or the head of a plain response."""
        call = self.calls[number]
        streamed = call.service == "engine"
        if not streamed and run.work > 0:
            return
        if self.now < run.next_event_at and run.work > 0:
            return
        run.next_event_at = self.now + EVENT_INTERVAL
        process.heard_at = self.now
        if process.was_silent:
            process.back_at, process.was_silent = self.now, False
        call.begun = call.begun or streamed
        outcomes.record_response(self.state, self.now, number, first=streamed)
