"""Cap'n Proto RPC for operators: server, client and messages."""
