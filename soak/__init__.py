"""Real routers under planned work and faults from outside, and what they lose.

`python -m soak --help` lists the options; docs/soak.md tells how to read a run.
"""
