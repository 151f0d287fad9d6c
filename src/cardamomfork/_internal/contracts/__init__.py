"""Interfaces between the deciding objects and the links."""
