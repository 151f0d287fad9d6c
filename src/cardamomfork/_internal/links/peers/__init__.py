"""Cap'n Proto links to other entry instances."""
