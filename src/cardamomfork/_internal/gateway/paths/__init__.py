"""Paths to targets, direct or over a peer, and memory reserved there.

Imports `peers` and what that may import.
"""
