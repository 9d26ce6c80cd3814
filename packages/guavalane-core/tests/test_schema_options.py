"""Tests of the validation of settings and configurations."""

from __future__ import annotations

import pytest

from guavalane_core.configuration import parse_configuration
from guavalane_core.exceptions import ConfigurationError
from guavalane_core.schema.options import REDACTED, to_plain
from guavalane_core.settings import parse_settings

VALID = """{
  // Comments are allowed.
  "name": "entry-a", "zone": "zone-a",
  "callers": {"port": 8080}, "operators": {"port": 8081},
  "peers": {"port": 8082},
  "node_secret": "0123456789abcdef", "operator_token": "0123456789abcdef",
}"""


class TestParseSettings:
    """Guards against settings errors that are missed or partly reported."""

    def test_defaults(self):
        settings = parse_settings(VALID)
        assert settings.object_api.kind == "memory"
        assert settings.callers.host == "127.0.0.1"

    def test_all_errors_are_reported_at_once(self):
        text = VALID.replace("8080", "0").replace('"zone"', '"zoen"')
        with pytest.raises(ConfigurationError) as caught:
            parse_settings(text)
        errors = "\n".join(caught.value.errors)
        assert len(caught.value.errors) == 3
        assert "callers.port: expected an integer of at least 1" in errors
        assert "zoen: unknown key; allowed: name, zone" in errors
        assert "zone: missing" in errors

    def test_secrets_are_redacted_in_errors_and_dumps(self):
        with pytest.raises(ConfigurationError) as caught:
            parse_settings(VALID.replace("0123456789abcdef", "short"))
        assert "short" not in str(caught.value)
        plain = to_plain(parse_settings(VALID), redact=True)
        assert plain["node_secret"] == REDACTED
        assert plain["operator_token"] == REDACTED


class TestParseConfiguration:
    """Guards against stored configurations that nodes cannot apply."""

    def test_cross_references(self):
        with pytest.raises(ConfigurationError) as caught:
            parse_configuration(
                {
                    "deployments": {"d": {"versions": {"v1": {"share": 0.5}}}},
                    "routes": {
                        "r": {
                            "kind": "model",
                            "request_class": "durable",
                            "deployment": "absent",
                        }
                    },
                    "endpoints": {
                        "e": {
                            "url": "http://127.0.0.1:1",
                            "zone": "z",
                            "deployment": "d",
                            "version": "v9",
                        }
                    },
                }
            )
        assert caught.value.errors == [
            "routes.r.deployment: unknown deployment 'absent'; allowed: d",
            "routes.r.model: missing for kind model",
            "deployments.d.versions: shares add up to 0.5, not 1",
            "endpoints.e.version: unknown version 'v9'; allowed: v1",
        ]


class TestRoutingPolicySetting:
    """Guards against settings that fail only after startup."""

    def test_unknown_policy_is_rejected(self):
        text = VALID.replace('"zone-a",', '"zone-a", "routing_policy": "x",')
        with pytest.raises(ConfigurationError) as caught:
            parse_settings(text)
        assert caught.value.errors == [
            "routing_policy: unknown policy 'x'; allowed: least_loaded,"
            " prefix_aware, random_of_two"
        ]

    def test_at_most_once_requires_kind_service(self):
        with pytest.raises(ConfigurationError) as caught:
            parse_configuration(
                {
                    "deployments": {"d": {"versions": {"v1": {}}}},
                    "routes": {
                        "r": {
                            "kind": "model",
                            "model": "m",
                            "request_class": "at_most_once",
                            "deployment": "d",
                        }
                    },
                }
            )
        assert caught.value.errors == [
            "routes.r.request_class: at_most_once needs kind service"
        ]
