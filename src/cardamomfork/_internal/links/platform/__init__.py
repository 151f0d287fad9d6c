"""Links to the platform's key-value store and lists."""
