"""Retention of claims and records."""

from __future__ import annotations

from guavalane_core.retention.sweeper import RetentionSweeper

__all__ = ["RetentionSweeper"]
