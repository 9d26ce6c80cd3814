"""Typed options that validate values against the schema."""
