"""Endpoints that a node uses, and attempts at them."""
