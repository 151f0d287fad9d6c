"""The command-line tool `cardamomfork`."""
