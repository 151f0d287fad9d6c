"""Parsing and validation of the daemon's INI settings file."""
