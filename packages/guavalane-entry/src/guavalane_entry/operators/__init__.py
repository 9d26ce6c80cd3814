"""Operator API and reports about the state of a node."""
