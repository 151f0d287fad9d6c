"""HTTP links to model engines and plain services."""
