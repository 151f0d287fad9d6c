"""Entry instances: membership, heartbeats, drain."""
