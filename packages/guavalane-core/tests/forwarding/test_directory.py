"""Tests of the endpoint directory."""

from __future__ import annotations

from guavalane_core.forwarding import EndpointDirectory
from guavalane_core.forwarding.directory import REREGISTRATION_GRACE_S
from guavalane_standins.forwarding_samples import make_endpoint


def names(directory):
    """Returns the usable endpoints of the sample service."""
    return sorted(e.endpoint_id for e in directory.usable("app"))


class TestEndpointDirectory:
    """Guards against use of removed endpoints and loss of the fleet."""

    def test_leaving_endpoint_gets_no_new_requests(self):
        directory = EndpointDirectory()
        directory.put(make_endpoint("e-1"))
        directory.put(make_endpoint("e-1", leaving=True))
        assert names(directory) == []
        assert len(directory.all_endpoints("app")) == 1

    def test_removal_without_an_outage_is_immediate(self):
        directory = EndpointDirectory()
        directory.put(make_endpoint("e-1"))
        directory.remove("e-1", 100.0)
        assert names(directory) == []

    def test_entries_that_expired_in_an_outage_get_a_grace_period(self):
        directory = EndpointDirectory()
        directory.replace_all([make_endpoint("e-1"), make_endpoint("e-2")], 0.0)
        directory.on_discovery_lost(40.0)
        directory.on_discovery_restored(50.0)
        directory.replace_all([], 50.1)
        assert names(directory) == ["e-1", "e-2"]
        directory.put(make_endpoint("e-2"))
        assert directory.expire(50.0 + REREGISTRATION_GRACE_S) == ["e-1"]
        assert names(directory) == ["e-2"]

    def test_leaving_endpoint_gets_no_grace_period(self):
        directory = EndpointDirectory()
        directory.put(make_endpoint("e-1", leaving=True))
        directory.on_discovery_lost(40.0)
        directory.on_discovery_restored(50.0)
        directory.remove("e-1", 50.1)
        assert directory.get("e-1") is None

    def test_endpoint_can_change_its_service(self):
        directory = EndpointDirectory()
        directory.put(make_endpoint("e-1"))
        directory.put(make_endpoint("e-1", service="other"))
        assert names(directory) == []
        assert len(directory.usable("other")) == 1

    def test_no_grace_period_after_a_short_outage(self):
        directory = EndpointDirectory()
        directory.put(make_endpoint("e-1"))
        directory.on_discovery_lost(49.0)
        directory.on_discovery_restored(49.5)
        directory.remove("e-1", 49.6)
        assert names(directory) == []

    def test_no_grace_period_while_served_by_another_node(self):
        """Only this node lost discovery, so later removals are immediate."""
        directory = EndpointDirectory()
        endpoints = [make_endpoint("e-1"), make_endpoint("e-2")]
        directory.replace_all(endpoints, 0.0)
        directory.on_discovery_lost(1.0)
        for now_s in range(2, 13):
            directory.merge(endpoints, float(now_s))
        directory.on_discovery_restored(13.0)
        directory.remove("e-1", 14.0)
        assert names(directory) == ["e-2"]

    def test_entries_missing_on_another_node_get_a_grace_period(self):
        """The other node has just regained discovery after an outage."""
        directory = EndpointDirectory()
        directory.replace_all([make_endpoint("e-1")], 0.0)
        directory.on_discovery_lost(1.0)
        directory.merge([], 10.0)
        directory.on_discovery_restored(10.5)
        directory.replace_all([], 10.5)
        assert names(directory) == ["e-1"]
        assert directory.expire(10.0 + REREGISTRATION_GRACE_S) == ["e-1"]

    def test_leaving_endpoint_missing_on_another_node_is_removed(self):
        directory = EndpointDirectory()
        directory.put(make_endpoint("e-1", leaving=True))
        directory.on_discovery_lost(1.0)
        directory.merge([], 10.0)
        assert directory.get("e-1") is None
