"""Differences between two generations of the configuration."""

from __future__ import annotations

from typing import Any

GENERATION_KEY = "generation"


def make_delta(old: dict[str, Any], new: dict[str, Any]) -> dict[str, Any]:
    """Returns the changed entries as a map of section to entry to new value.

    Args:
      old: Configuration as plain data.
      new: Later configuration as plain data.

    Returns:
      Changed entries only; a removed entry has the value None.
    """
    delta: dict[str, Any] = {}
    for section in sorted((old.keys() | new.keys()) - {GENERATION_KEY}):
        before, after = old.get(section, {}), new.get(section, {})
        changed = {
            name: after.get(name)
            for name in sorted(before.keys() | after.keys())
            if before.get(name) != after.get(name)
        }
        if changed:
            delta[section] = changed
    return delta


def apply_delta(old: dict[str, Any], delta: dict[str, Any]) -> dict[str, Any]:
    """Returns the configuration that results from applying a delta.

    Args:
      old: Configuration as plain data; it is not modified.
      delta: Result of `make_delta`.
    """
    new = dict(old)
    for section, entries in delta.items():
        merged = dict(new.get(section, {}))
        for name, value in entries.items():
            if value is None:
                merged.pop(name, None)
            else:
                merged[name] = value
        new[section] = merged
    return new
