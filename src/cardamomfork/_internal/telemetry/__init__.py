"""Logs, metrics, the state dump and the watchdog."""
