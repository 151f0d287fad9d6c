"""Cap'n Proto RPC between entry instances: client, server, schema and TLS."""
