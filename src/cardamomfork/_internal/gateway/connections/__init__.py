"""Connections to targets, and whether any target can be reached.

Imports `choice` and what that may import.
"""
