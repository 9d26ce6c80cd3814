"""Forwarding of any HTTP request to the endpoints of a service."""
