"""Versioned configuration and its distribution to all instances."""
