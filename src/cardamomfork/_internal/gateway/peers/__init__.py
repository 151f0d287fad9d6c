"""Peers: membership, digests, permits, requests sent over a peer.

Imports `crashes` and what that may import.
"""
