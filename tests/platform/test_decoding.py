"""Tests of decoding the operators' objects."""

from __future__ import annotations

import pytest

from guavalane_core.exceptions import ConfigurationError
from guavalane_core.forwarding import Delivery, MovePhase
from guavalane_core.objects import StoredObject
from guavalane_platform.decoding import (
    decode_configuration,
    decode_endpoint,
    decode_move,
    encode_move_status,
)
from guavalane_platform_standins.deployment import make_config

ENTRY = {
    "Service": "llm",
    "Address": "10.1.0.9:8080",
    "Zone": "zone-a",
    "Version": "v1",
    "Slots": 64,
    "State": "ready",
    "ColdRemainingMs": 1500,
    "Sequence": 4,
    "Spot": True,
    "born": 1_700_000_000_000,
}


def stored(body, name="i-1", kind="servers"):
    """Returns a stored object."""
    return StoredObject(kind, name, "7", body)


class TestDecodeEndpoint:
    """Guards against accepting invalid endpoint objects of other writers."""

    def test_fields(self):
        endpoint = decode_endpoint(stored(ENTRY))
        assert endpoint.endpoint_id == "i-1"
        assert endpoint.cold_s == 1.5
        assert endpoint.reclaimable
        assert not endpoint.leaving
        assert endpoint.started_ms == 1_700_000_000_000

    def test_a_draining_endpoint_is_leaving(self):
        entry = {**ENTRY, "State": "draining", "leaves_ms": 900}
        endpoint = decode_endpoint(stored(entry))
        assert endpoint.leaving
        assert endpoint.reclaim_s == 0.9

    @pytest.mark.parametrize(
        "value",
        [float("inf"), float("-inf"), float("nan"), 10**400, 1e300],
        ids=["inf", "-inf", "nan", "10**400", "1e300"],
    )
    @pytest.mark.parametrize(
        "key", ["Slots", "ColdRemainingMs", "leaves_ms", "born"]
    )
    def test_a_number_that_is_too_large_is_invalid(self, key, value):
        """Guards against arithmetic errors in the tasks that use it."""
        with pytest.raises(ConfigurationError):
            decode_endpoint(stored({**ENTRY, key: value}))

    @pytest.mark.parametrize(
        "changes",
        [
            {"State": "unheard-of"},
            {"State": None},
            {"State": ["ready"]},
            {"Address": "10.1.0.9"},
            {"Address": 7},
            {"Address": "10.1.0.9:0"},
            {"Address": "10.1.0.9:70000"},
            {"Address": "10.1.0.9:" + "9" * 5000},
            {"Address": "host/path:80"},
            {"Slots": "64"},
            {"Slots": True},
            {"Service": None},
            {"Zone": 3},
            {"born": "yesterday"},
        ],
    )
    def test_invalid_fields_are_rejected(self, changes):
        with pytest.raises(ConfigurationError):
            decode_endpoint(stored({**ENTRY, **changes}))

    @pytest.mark.parametrize("key", ["State", "Address", "Service", "Zone"])
    def test_missing_fields_are_rejected(self, key):
        entry = {k: v for k, v in ENTRY.items() if k != key}
        with pytest.raises(ConfigurationError):
            decode_endpoint(stored(entry))


class TestDecodeConfiguration:
    """Guards against routes that differ from the operator's configuration."""

    def decode(self, body):
        """Decodes a configuration body."""
        return decode_configuration(stored(body, "main", "config"))

    def test_routes(self):
        configuration = self.decode(make_config(7))
        assert configuration.version == 7
        once, look, talk = configuration.routes
        assert once.delivery is Delivery.AT_MOST_ONCE
        assert not once.repeatable
        assert once.timeout_s == 2.0
        assert look.repeatable
        assert look.max_endpoints == 2
        assert talk.delivery is Delivery.STREAM
        assert talk.resumable
        assert talk.max_gap_s == 0.5
        assert [share.service for share in talk.shares] == ["llm"]
        assert configuration.services["llm"].engine.slots == 64
        assert configuration.organisations[0].counts_tokens

    def test_cold_limits_of_services(self):
        (app, llm) = make_config(1)["Services"]
        app = {**app, "ColdStartS": 8, "ColdPerS": 2.5}
        services = self.decode(make_config(1, Services=[app, llm])).services
        assert services["app"].cold_start_s == 8.0
        assert services["app"].cold_rate_per_s == 2.5
        assert services["llm"].cold_rate_per_s == 0.0

    def test_missing_and_empty_tenants_differ(self):
        body = make_config(1)
        del body["Tenants"]
        assert self.decode(body).organisations is None
        assert self.decode(make_config(1, Tenants=[])).organisations == ()

    @pytest.mark.parametrize(
        "changes",
        [
            {"Version": "7"},
            {"Routes": [{"Name": "r"}]},
            {"Routes": [{**make_config(1)["Routes"][0], "Kind": "other"}]},
            {"Services": [{"Name": "app"}]},
            {"Limits": {"MaxHeaderBytes": "many"}},
            {"Services": [{**make_config(1)["Services"][0], "ColdPerS": -1}]},
            {
                "Services": [
                    {**make_config(1)["Services"][0], "ColdStartS": "8"}
                ]
            },
        ],
    )
    def test_invalid_fields_are_rejected(self, changes):
        with pytest.raises(ConfigurationError):
            self.decode(make_config(1, **changes))

    def test_other_names_are_rejected(self):
        with pytest.raises(ConfigurationError):
            decode_configuration(stored(make_config(1), "other", "config"))


class TestDecodeMove:
    """Guards against misread rollout objects."""

    SPEC = {"Service": "app", "Target": "v2", "StepIntervalS": 12}

    def order(self, spec=None, status=None):
        """Returns a rollout object."""
        body = {**self.SPEC, **(spec or {})}
        return StoredObject("rollouts", "app", "1", body, status=status or {})

    def test_a_rollout_without_a_status_is_new(self):
        move = decode_move(self.order())
        assert (move.service, move.target) == ("app", "v2")
        assert move.time_limit_s == 12.0
        assert move.phase is MovePhase.ORDERED

    @pytest.mark.parametrize(
        "phase", [p for p in MovePhase if p is not MovePhase.ORDERED]
    )
    def test_an_encoded_phase_is_decoded(self, phase):
        status = encode_move_status(decode_move(self.order()), phase)
        assert decode_move(self.order(status=status)).phase is phase

    def test_the_status_of_an_earlier_rollout_is_ignored(self):
        status = {"State": "completed", "Target": "v1"}
        move = decode_move(self.order(status=status))
        assert move.phase is MovePhase.ORDERED

    @pytest.mark.parametrize(
        "spec", [{"Target": 2}, {"StepIntervalS": "12"}, {"Service": None}]
    )
    def test_invalid_rollouts_are_rejected(self, spec):
        with pytest.raises(ConfigurationError):
            decode_move(self.order(spec=spec))
