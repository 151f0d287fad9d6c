"""Waiting, refusal and retries.

Decides without I/O. Imports `paths` and what that may import.
"""
