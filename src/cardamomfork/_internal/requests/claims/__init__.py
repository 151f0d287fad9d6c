"""At-most-once execution: claims on idempotency keys, in the store."""
