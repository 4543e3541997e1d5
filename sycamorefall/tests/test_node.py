"""The end of a stopped process, in the shell of routers and sidecars."""

import types

from sycamorefall import node
from sycamorefall.transport.tests import last_passes, test_server


class StoppingProcess:
    """A process that stops; its core is idle when all calls have ended."""

    def __init__(self):
        self.site = test_server.Site()
        self.site.run_until(lambda: self.site.server.port)
        self.node = types.SimpleNamespace(
            core=types.SimpleNamespace(is_idle=self.is_idle),
            server=self.site.server,
            operators=None,
            loop=self.site.loop,
            next_stop_check_at=0.0,
            exit_at=None,
        )

    def is_idle(self):
        return all(call.ended for call in self.site.calls)

    def begin_call(self):
        """Begins the response to a caller, who keeps the connection."""
        caller = self.site.connect()
        caller.sendall(test_server.GET % b"long")
        call = self.site.run_until(lambda: self.site.calls)[0]
        call.begin(200)
        return caller, call

    def check_stop(self, now):
        self.site.now = now
        node._check_stop(self.node, now)


def test_request_in_the_last_moment_of_a_process_is_not_lost():
    # A caller uses its kept connection again while the process ends. The loop
    # read the request after the last check, passed it on and ended.
    def create_last_passes(step):
        process = StoppingProcess()
        site = process.site
        caller, call = process.begin_call()
        site.server.begin_stop()
        call.end()
        site.read(caller, b"0\r\n\r\n")
        process.check_stop(1.0)
        return last_passes.LastPasses(site, caller, process.check_stop, step)

    quiet_until = 1.0 + node.QUIET_PERIOD
    losing = last_passes.list_losing_steps(create_last_passes, quiet_until)
    assert losing == []


def test_process_waits_for_control_messages_of_its_last_request():
    # Guards against a sidecar whose last account entries are lost: a request
    # came while it waited to end, and it ended as soon as that was answered,
    # without waiting again.
    process = StoppingProcess()
    caller, call = process.begin_call()
    process.site.server.begin_stop()
    call.end()
    process.site.read(caller, b"0\r\n\r\n")
    process.check_stop(1.0)
    caller.sendall(test_server.GET % b"again")
    process.site.run_until(lambda: len(process.site.calls) == 2)
    process.check_stop(1.1)
    process.site.calls[1].respond(200, b"done")
    assert process.site.read(caller, b"done").endswith(b"done")
    process.check_stop(1.0 + node.QUIET_PERIOD)
    assert process.site.loop.running
    process.check_stop(1.0 + 2 * node.QUIET_PERIOD)
    assert not process.site.loop.running
