"""The callers' side: applications, forwarding and recorded outcomes.

Imports `queueing` and what that may import.
"""
