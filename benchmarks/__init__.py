"""Benchmarks: the decision cores driven by an event queue, no sockets."""
