"""At-most-once calls, durable requests, and their handover and lookup."""
