"""Measurement commands that print slopes and ratios."""
