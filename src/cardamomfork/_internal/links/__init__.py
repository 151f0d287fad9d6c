"""Network adapters for callers, targets, peers and operators."""
