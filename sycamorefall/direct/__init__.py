"""Router that sends requests directly to upstreams, without sidecars.

The decision logic does no I/O. `core` handles new requests and timers,
`outcomes` handles how attempts at upstreams ended, and both return the effects
that `relay` and `daemon` perform.
"""
