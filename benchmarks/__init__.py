"""Benchmarks and simulations of the decision logic and of real processes."""
