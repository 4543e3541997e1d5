"""I/O of a process: event loop, control links, HTTP client and server."""

__all__ = [
    "EVENT_STREAM",
    "ControlLinks",
    "Exchange",
    "HeldMemory",
    "HttpClient",
    "HttpServer",
    "IncomingCall",
    "Listener",
    "Loop",
    "OutgoingRequest",
    "Reachability",
    "RequestHeaders",
    "SendStage",
    "Shedding",
    "Ticker",
    "bound_memory",
    "count_closings",
    "create_loop",
    "divide",
    "install_signal_handlers",
    "limit_servers",
    "read_clock",
    "read_vm",
]

from sycamorefall.transport.client import HttpClient
from sycamorefall.transport.closing import count_closings
from sycamorefall.transport.control import ControlLinks
from sycamorefall.transport.division import divide
from sycamorefall.transport.exchanges import (
    Exchange,
    Listener,
    OutgoingRequest,
    Reachability,
    SendStage,
)
from sycamorefall.transport.held_memory import HeldMemory
from sycamorefall.transport.incoming_call import EVENT_STREAM, IncomingCall
from sycamorefall.transport.loop import (
    Loop,
    Ticker,
    create_loop,
    install_signal_handlers,
    read_clock,
)
from sycamorefall.transport.request_reader import RequestHeaders
from sycamorefall.transport.server import HttpServer
from sycamorefall.transport.shedding import Shedding
from sycamorefall.transport.vm_limits import (
    bound_memory,
    limit_servers,
    read_vm,
)
