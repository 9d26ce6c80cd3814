"""Package exports whose modules are imported on first use."""

from __future__ import annotations

import importlib
from collections.abc import Callable, Mapping, Sequence
from typing import Any


def lazy_exports(
    package: str, modules: Mapping[str, Sequence[str]]
) -> tuple[Callable[[str], Any], list[str]]:
    """Returns the `__getattr__` and the `__all__` of a package.

    Imports account for most of the startup time of a node, so each program
    imports only the modules that it uses.

    Args:
      package: Name of the package.
      modules: Exported names by module.
    """
    module_of = {
        name: module for module, names in modules.items() for name in names
    }

    def get(name: str) -> Any:
        module = module_of.get(name)
        if module is None:
            raise AttributeError(f"module {package!r} has no name {name!r}")
        return getattr(importlib.import_module(f"{package}.{module}"), name)

    return get, sorted(module_of)
