"""Endpoint selection, endpoint client, load polling and retries."""
