"""Finds the requests that crash targets and keeps crash reports.

Imports `requests` and what that may import.
"""
