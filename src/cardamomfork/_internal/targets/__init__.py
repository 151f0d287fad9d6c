"""Views of targets: health, load, orders."""
