"""Operator commands, one module per group."""
