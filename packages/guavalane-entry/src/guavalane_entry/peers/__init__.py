"""Connections between entry nodes and their member list."""
