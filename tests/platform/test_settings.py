"""Tests of the platform's settings file."""

from __future__ import annotations

import pytest
import yaml

from guavalane_core.exceptions import ConfigurationError
from guavalane_platform import settings
from guavalane_platform.settings import parse_settings, to_gateway_settings

VALID = {
    "NodeName": "edge-1",
    "Zone": "zone-a",
    "Ip": "10.1.0.14",
    "Listen": {
        "Frontend": "10.1.0.14:8221",
        "Readiness": "10.1.0.14:8224",
        "Control": "10.1.0.14:8229",
    },
    "InternalPorts": [7600, 7615],
    "Platform": {"Address": "10.200.1.7:8225", "WritesPerS": 400},
    "Cloud": {"Address": "10.200.0.35:8225"},
    "Bounds": {"LeaseMs": 3000, "QuotaSlack": 140000, "New": True},
    "DataDir": None,
}


class TestParseSettings:
    """Guards against a node that starts with misread settings."""

    def test_values_and_units(self):
        settings = to_gateway_settings(parse_settings(yaml.safe_dump(VALID)))
        assert settings.name == "edge-1"
        assert str(settings.callers) == "10.1.0.14:8221"
        assert str(settings.peers) == "10.1.0.14:7600"
        assert settings.lease_s == 3.0
        assert settings.allotments.slack == 140_000

    def test_bounds_are_optional(self):
        data = {key: VALID[key] for key in VALID if key != "Bounds"}
        settings = to_gateway_settings(parse_settings(yaml.safe_dump(data)))
        assert settings.stop_grace_s == 8.0

    @pytest.mark.parametrize(
        ("changes", "max_extra"),
        [
            ({}, 0.0),
            ({"Bounds": {"HedgeShare": 0.02}}, 0.02),
            ({"hedging": {"max_extra": 0.01}}, 0.01),
            (
                {
                    "Bounds": {"HedgeShare": 0.02},
                    "hedging": {"max_extra": 0.0},
                },
                0.0,
            ),
        ],
    )
    def test_the_limit_of_hedged_attempts(self, changes, max_extra):
        text = yaml.safe_dump({**VALID, **changes})
        settings = to_gateway_settings(parse_settings(text))
        assert settings.hedges.max_extra == max_extra

    def test_a_share_above_one_is_rejected(self):
        for changes in (
            {"Bounds": {"HedgeShare": 2}},
            {"hedging": {"max_extra": 2}},
        ):
            with pytest.raises(ConfigurationError):
                parse_settings(yaml.safe_dump({**VALID, **changes}))

    def test_all_mistakes_are_reported_together(self):
        data = {**VALID, "Zone": 7, "Listen": {"Frontend": "x"}}
        del data["NodeName"]
        with pytest.raises(ConfigurationError) as caught:
            parse_settings(yaml.safe_dump(data))
        text = "\n".join(caught.value.errors)
        for key in ("NodeName", "Zone", "Listen.Frontend", "Listen.Readiness"):
            assert key in text

    @pytest.mark.parametrize("text", ["", "- a\n- b", "a: [1"])
    def test_invalid_documents_are_rejected(self, text):
        with pytest.raises(ConfigurationError):
            parse_settings(text)

    def test_a_single_internal_port_is_rejected(self):
        data = {**VALID, "InternalPorts": [7600]}
        with pytest.raises(ConfigurationError):
            parse_settings(yaml.safe_dump(data))

    def test_evacuations_need_a_stated_time(self):
        settings = to_gateway_settings(parse_settings(yaml.safe_dump(VALID)))
        assert settings.evacuation_s is None
        assert (settings.cold.ratio, settings.cold.slack) == (1.5, 5.0)
        bounds = {"ColdOver": 1.2, "ColdSlack": 3, "EvacuateMs": 5000}
        data = {**VALID, "Bounds": bounds}
        settings = to_gateway_settings(parse_settings(yaml.safe_dump(data)))
        assert settings.evacuation_s == 5.0
        assert (settings.cold.ratio, settings.cold.slack) == (1.2, 3.0)

    @pytest.mark.parametrize(
        "bounds", [{"ColdOver": 0.5}, {"ColdSlack": -1}, {"EvacuateMs": "x"}]
    )
    def test_odd_bounds_are_rejected(self, bounds):
        with pytest.raises(ConfigurationError):
            parse_settings(yaml.safe_dump({**VALID, "Bounds": bounds}))


class TestParser:
    """Guards against a parser in C that reads settings differently."""

    @pytest.mark.parametrize("loader", [yaml.SafeLoader, yaml.CSafeLoader])
    def test_parsers_agree(self, loader, monkeypatch):
        monkeypatch.setattr(settings, "_YAML_LOADER", loader)
        read = parse_settings(yaml.safe_dump(VALID))
        assert read.Bounds.QuotaSlack == 140000
        assert read.InternalPorts == (7600, 7615)
        with pytest.raises(ConfigurationError, match="invalid YAML"):
            parse_settings("a: [")
