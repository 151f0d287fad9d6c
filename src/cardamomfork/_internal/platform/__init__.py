"""Adapter to the users' platform: wire names, formats and store calls.

Converts between the platform's wire formats and the project's own types.
Contains no routing or scheduling decisions.
"""
