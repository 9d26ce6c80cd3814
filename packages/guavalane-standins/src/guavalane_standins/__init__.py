"""Stand-ins for external systems, test helpers and trace replays."""
