"""Wires the daemon's sides; `daemon.py` puts them together."""
