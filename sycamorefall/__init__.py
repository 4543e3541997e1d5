"""A router fleet for teams who share model engines and plain services fairly.

The decisions (`sharing`, `admission`, `dispatch`, `membership`,
`configuration`, `router.core`, `sidecar.core`) do no I/O and take the time as
an argument; `router.daemon` and `sidecar.daemon` wire them to sockets.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
