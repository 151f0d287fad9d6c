"""Adapters to callers, targets, peers and the platform."""
