"""Router fleet with fair sharing of model engines and plain services by teams.

The decision logic (`sharing`, `admission`, `dispatch`, `membership`,
`configuration`, `router.core`, `sidecar.core`) performs no I/O and takes the
current time as an argument; `router.daemon` and `sidecar.daemon` connect it to
sockets.
"""

__all__ = ["__version__"]

__version__ = "0.1.0"
