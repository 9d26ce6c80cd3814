"""Requests that outlive their connection or run at most once."""
