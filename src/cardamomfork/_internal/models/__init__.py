"""Data that parts of the system hand to each other; no effects."""
