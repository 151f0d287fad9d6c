"""Follows key prefixes of the platform's store and relays their changes.

Imports no other package of the gateway.
"""
