"""Sending directly to upstreams, without a sidecar beside them.

The decisions are free of I/O: `core` takes requests and time, `outcomes`
what became of them at upstreams, and both return effects.
"""
