"""Clients that read a stream, lose it, and take it up again."""

__all__ = ["StreamClient"]

import re
import socket
import time

from lib2 import site as site_module

_EVENT = re.compile(rb"id: (\d+)\n")


class StreamClient:
    """A client with one stream, which it takes up after a broken connection.

    Attributes:
        began_as: Id of the attempt that brought the first event; empty before.
        last_event: Number of the last event that arrived; 0 before the first.
        is_broken: Whether the connection has ended.
        deadline: Time at which the client gives up.
    """

    def __init__(
        self, site: site_module.Site, target: str, tenant: str, seconds: float
    ):
        """Creates a client that has sent nothing yet."""
        self._site = site
        self._target = target
        self._key = site_module.TENANTS[tenant]
        self._sock: socket.socket | None = None
        self._body = f"{target} {time.monotonic()}".encode()
        self.began_as = ""
        self.last_event = 0
        self.is_broken = False
        self.deadline = time.monotonic() + seconds

    def send(self, router: site_module.Router) -> bool:
        """Begins the stream, or takes it up; returns whether events arrive."""
        attempt = site_module.create_attempt_id()
        left_ms = int((self.deadline - time.monotonic()) * 1000)
        headers = {
            "Host": site_module.HOST,
            "Attempt-Id": attempt,
            "Request-Deadline-Ms": str(max(1, left_ms)),
            "Credential": self._key,
            "Model": "m",
            "Token-Usage": "1460,400",
            "Prompt-Prefix": f"5c1e07a2:800,{attempt[-8:]}:660",
            "Content-Length": str(len(self._body)),
        }
        if self.last_event:
            headers["Resumes"] = self.began_as
            headers["Last-Event-Id"] = str(self.last_event)
        lines = [f"POST {self._target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        data = "\r\n".join([*lines, "", ""]).encode() + self._body
        before = self.last_event
        status = b"no answer"
        try:
            self._sock = socket.create_connection(
                ("127.0.0.1", router.data), timeout=2
            )
            self._sock.sendall(data)
            head = self._sock.recv(1 << 16)
            status = head[9:12] or status
            self._record(head)
            while status == b"200" and self.last_event == before:
                if not self.read():
                    break
        except OSError:
            self.close()
        goes_on = self.last_event > before
        if goes_on and not self.began_as:
            self.began_as = attempt
        if not goes_on:
            self.close()
        self.is_broken = not goes_on
        what = f"takes up {self.began_as} after {before}" if before else "new"
        self._site.note(
            "client",
            f"{attempt} {what} at {router.name} -> {status.decode()}, "
            f"{'goes on' if goes_on else 'no event'}",
        )
        return goes_on

    def read(self) -> bool:
        """Reads what has arrived; returns whether the connection stands."""
        try:
            data = self._sock.recv(1 << 16)
        except TimeoutError:
            return True
        except OSError:
            data = b""
        self._record(data)
        if not data:
            self.is_broken = True
            self.close()
        return bool(data)

    def _record(self, data: bytes) -> None:
        for number in _EVENT.findall(data):
            self.last_event = max(self.last_event, int(number))

    def close(self) -> None:
        """Closes the connection."""
        if self._sock is not None:
            self._sock.close()
        self.is_broken = True
