"""Tests of package exports whose modules are imported on first use."""

from __future__ import annotations

import importlib
import subprocess
import sys

import pytest

PACKAGES = (
    "configuration",
    "fleet",
    "leases",
    "limits",
    "membership",
    "moves",
    "objects",
    "routing",
    "settings",
)
# Modules that a gateway node does not use.
UNUSED_MODULES = (
    "cattrs",
    "guavalane_core.configuration",
    "guavalane_core.fleet.planner",
    "guavalane_core.membership.machine",
    "guavalane_core.messages.generated",
    "guavalane_core.moves.leader",
    "guavalane_core.objects.memory",
    "guavalane_core.routing.policies",
    "guavalane_core.settings",
    "aiohttp.web_app",
    "json5",
    "prometheus_client",
    "sanic",
    "websockets",
)


class TestLazyExports:
    """Guards against exported names that cannot be imported."""

    @pytest.mark.parametrize("name", PACKAGES)
    def test_exported_names_exist(self, name):
        package = importlib.import_module(f"guavalane_core.{name}")
        assert package.__all__
        for exported in package.__all__:
            assert getattr(package, exported) is not None

    def test_unknown_name_raises_attribute_error(self):
        package = importlib.import_module("guavalane_core.moves")
        with pytest.raises(AttributeError, match="no name 'Missing'"):
            _ = package.Missing

    def test_gateway_node_imports_no_unused_modules(self):
        """Guards against slow startup caused by unneeded imports."""
        code = (
            "import sys, guavalane_entry.gateway.node as node;"
            f"print([n for n in {UNUSED_MODULES!r} if n in sys.modules])"
        )
        done = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            check=True,
        )
        assert done.stdout.strip() == "[]"

    def test_settings_loader_registers_all_policies(self):
        """Guards against policies whose modules are not imported.

        The registry is filled by decorators, so settings with such a policy
        would be rejected.
        """
        code = (
            "import guavalane_core.settings.loader as loader;"
            "print(sorted(loader.POLICIES))"
        )
        done = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            check=True,
        )
        assert "prefix_aware" in done.stdout
