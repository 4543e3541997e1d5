"""Clients that break the protocol's rules, and processes under them."""
