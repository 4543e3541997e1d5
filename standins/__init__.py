"""Fakes of the platform, the upstreams and the network around a fleet.

The tests on real processes and the demo run against them.
"""
