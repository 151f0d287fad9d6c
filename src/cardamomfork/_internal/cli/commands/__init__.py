"""Commands of the tool, one module per command or group."""
