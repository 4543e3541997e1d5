"""Adapter to the users' platform; it only translates.

The names that the platform uses on the wire (headers, keys and fields) occur
in this folder only. They are translated once, to and from the router's own
types.
"""
