"""Implementation of the daemon, the command-line tool and the library."""
