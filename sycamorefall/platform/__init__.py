"""Adapter to the users' platform: translation only.

Every name of the platform's wire stands in this folder and is read once, into
the product's own types.
"""
