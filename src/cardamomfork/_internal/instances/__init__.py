"""Membership of instances, gossip between them, and leases."""
