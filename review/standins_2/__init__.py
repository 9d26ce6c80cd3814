"""Stand-ins of this review."""
