"""Builds and connects the daemon's components."""
