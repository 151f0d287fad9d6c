"""Interfaces between the decision logic and the network links."""
