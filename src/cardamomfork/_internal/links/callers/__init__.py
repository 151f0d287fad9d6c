"""The HTTP face towards callers."""
