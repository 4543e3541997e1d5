"""Requests that arrive at any step of the last passes of a process's loop."""

import contextlib
import os
import sys

from circuits.core import pollers, utils

from sycamorefall import transport
from sycamorefall.transport.tests import test_server

PASS_TIME = 0.05
"""Usual seconds between two passes: the interval of a stop's checks."""

MAX_PASSES = 100
"""Passes within which the process must have ended."""


class LastPasses:
    """The last passes of a loop whose caller uses its kept connection again.

    A step is a call of any function, or a return from one: the request arrives
    in the kernel between two of them. An upstream answers a request two passes
    after it was passed on.

    Attributes:
        site: The process's server and loop.
        caller: Socket of the caller.
        step: Number of the step at which the request is sent.
        pass_time: Seconds between two passes of the loop.
        sent: Whether the loop came to that step.
    """

    def __init__(self, site, caller, check_stop, step, pass_time=PASS_TIME):
        self.site = site
        self.caller = caller
        self.step = step
        self.pass_time = pass_time
        self.sent = False
        self._passed_on = []
        transport.Ticker(
            lambda: site.now, check_stop, lambda: site.now
        ).register(site.loop)

    def run(self, trace_from):
        """Runs the loop to its end, as `Manager.run` of circuits does.

        Args:
            trace_from: Time from which steps are counted.

        Returns:
            What the caller received after its request.
        """
        loop = self.site.loop
        for _ in range(MAX_PASSES):
            if not (loop.running or len(loop._queue)):
                break
            self.site.now += self.pass_time
            self._run_pass(self.site.now >= trace_from)
        assert not loop.running
        for _ in range(3):
            self._run_pass(True)
        return self._end_process()

    def _run_pass(self, traced):
        if traced and not self.sent:
            sys.setprofile(self._count_step)
        try:
            self.site.loop.tick(0.0)
        finally:
            sys.setprofile(None)
        for call, age in self._passed_on:
            if age == 2:
                call.respond(200, b"done")
        known = [call for call, _ in self._passed_on]
        self._passed_on = [
            *((call, age + 1) for call, age in self._passed_on),
            *((one, 1) for one in self.list_requests() if one not in known),
        ]

    def list_requests(self):
        """Lists the requests that were passed on after the kept one."""
        return self.site.calls[1:]

    def _count_step(self, *_):
        self.step -= 1
        if self.step < 0:
            sys.setprofile(None)
            self.sent = True
            with contextlib.suppress(OSError):
                self.caller.sendall(test_server.GET % b"again")

    def _end_process(self):
        """Closes what the kernel closes; returns what the caller receives."""
        for sock in list(self.site.server._connections):
            sock.close()
        poller = utils.findcmp(self.site.loop, pollers.BasePoller)
        poller._poller.close()
        os.close(poller._ctrl_recv)
        os.close(poller._ctrl_send)
        self.caller.settimeout(5.0)
        received = b""
        with self.caller, contextlib.suppress(OSError):
            while data := self.caller.recv(1 << 16):
                received += data
        return received


def list_losing_steps(create_last_passes, trace_from):
    """Lists the steps at which a request is passed on but not answered.

    Args:
        create_last_passes: Creates the last passes, given a step.
        trace_from: Time from which steps are counted.
    """
    losing = []
    step = 0
    while True:
        passes = create_last_passes(step)
        received = passes.run(trace_from)
        if not passes.sent:
            assert step > 0
            return losing
        if passes.list_requests() and not received.endswith(b"done"):
            losing.append(step)
        step += 1
