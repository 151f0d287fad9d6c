"""Client accounts: keys, limits and priorities."""
