"""Reachability and summaries of the fleet's data centres."""
