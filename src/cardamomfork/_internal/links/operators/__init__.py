"""The side towards operators: Cap'n Proto RPC, its server and client."""
