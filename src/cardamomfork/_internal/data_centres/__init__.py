"""Data centres: delegates, reachability and summaries."""
