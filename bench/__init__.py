"""Benchmarks with regression bounds from the targets in the design."""
