"""Stand-ins for engines, services, the store and the platform.

Used by tests, measurements and the embedded daemon.
"""
