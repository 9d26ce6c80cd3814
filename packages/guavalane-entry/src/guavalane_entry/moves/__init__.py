"""Version moves: commands, traffic evaluation and leadership."""
