"""The users' platform: its names, formats and calls, and nothing that decides.

Each name on the wire is decoded here, once, into the project's own types.
"""
