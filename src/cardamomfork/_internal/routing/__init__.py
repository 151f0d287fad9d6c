"""Which target runs a request, and when."""
