"""Benchmarks that drive the I/O-free cores with a plain event queue."""
