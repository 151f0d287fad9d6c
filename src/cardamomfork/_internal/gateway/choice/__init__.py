"""Chooses the targets of a request by predicted cost.

Decides without I/O. Imports `state`.
"""
