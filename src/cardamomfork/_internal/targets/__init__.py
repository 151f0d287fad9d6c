"""State of targets: health, load, leaving marks and orders."""
