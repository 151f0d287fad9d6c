"""Processes of the relay measurement: engine, client and relay."""
