"""Configuration and the object API."""
