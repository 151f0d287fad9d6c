"""One request and its answer: attempts, events, log lines.

Imports `connections` and what that may import.
"""
