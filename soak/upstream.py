"""A fake upstream as a process that records what it runs, one line a change.

A line has the request's id, `begun`, `whole` or `broken`, and the time of the
machine's monotonic clock. Standard input keeps the process alive.
"""

import argparse
import asyncio
import sys
import time

from standins import wire_upstream


class RecordedUpstream(wire_upstream.Upstream):
    """An upstream that writes when it begins and ends to work on a request."""

    async def _respond(self, line, headers, body, reader, writer) -> None:
        if headers.get("expect-instance") != self.name:
            await super()._respond(line, headers, body, reader, writer)
            return
        request, end = headers.get("attempt-id", ""), "broken"
        _record(request, "begun")
        try:
            await super()._respond(line, headers, body, reader, writer)
            await writer.drain()
            end = "whole"
        finally:
            _record(request, end)


def _record(request: str, change: str) -> None:
    print(request, change, time.monotonic(), flush=True)


async def _run(options: argparse.Namespace) -> None:
    upstream = RecordedUpstream(options.name)
    upstream.begin_delay = options.begin_delay
    upstream.event_interval = options.event_interval
    upstream.version = options.version
    await asyncio.start_server(upstream.serve, "127.0.0.1", options.port)
    ended = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(ended), sys.stdin
    )
    await ended.read()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name")
    parser.add_argument("port", type=int)
    parser.add_argument("--begin-delay", type=float, default=0.0)
    parser.add_argument("--version", default="v1")
    parser.add_argument("--event-interval", type=float, default=0.05)
    asyncio.run(_run(parser.parse_args()))
