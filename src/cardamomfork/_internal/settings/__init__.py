"""The daemon's settings file: INI, checked whole before the start."""
