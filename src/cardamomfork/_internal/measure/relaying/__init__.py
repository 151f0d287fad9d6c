"""Helper processes of the relay measurement: engine, client and relay."""
