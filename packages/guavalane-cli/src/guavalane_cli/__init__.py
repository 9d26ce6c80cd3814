"""Command-line interface for guavalane operators."""
