"""The lifecycle of a request: attempts, claims, retries."""
