"""Queueing of requests and selection of the targets that run them."""
