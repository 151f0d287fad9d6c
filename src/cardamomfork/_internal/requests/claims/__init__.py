"""At most once: claims on idempotency keys, kept in the platform's store."""
