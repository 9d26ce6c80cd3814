"""Servers for callers and what they answer with."""
