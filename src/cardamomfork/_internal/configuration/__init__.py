"""Versioned configuration and its way to every instance."""
