"""Logs, metrics and the state dump."""
