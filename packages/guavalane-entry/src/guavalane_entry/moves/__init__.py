"""Version moves on one node."""
