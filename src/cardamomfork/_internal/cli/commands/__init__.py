"""One module a command."""
