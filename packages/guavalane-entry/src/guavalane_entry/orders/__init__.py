"""Orders to model engines: commands, sender and HTTP client."""
