"""Coordination parts that work without the daemon."""
