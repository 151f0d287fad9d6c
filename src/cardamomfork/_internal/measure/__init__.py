"""Measurement commands, which print fitted slopes, ratios and tables."""
