"""Tests of the endpoints that a node knows."""

from __future__ import annotations

from guavalane_core.forwarding import EndpointDirectory
from guavalane_core.forwarding.directory import REREGISTRATION_GRACE_S
from guavalane_standins.forwarding_samples import make_endpoint


def names(directory):
    """Returns the usable endpoints of the sample service."""
    return sorted(e.endpoint_id for e in directory.usable("app"))


class TestEndpointDirectory:
    """Guards against work for endpoints that left, and lost fleets."""

    def test_a_leaving_endpoint_gets_no_new_work(self):
        directory = EndpointDirectory()
        directory.put(make_endpoint("e-1"))
        directory.put(make_endpoint("e-1", leaving=True))
        assert names(directory) == []
        assert len(directory.all_endpoints("app")) == 1

    def test_a_removed_entry_is_gone_at_once_in_calm_times(self):
        directory = EndpointDirectory()
        directory.put(make_endpoint("e-1"))
        directory.remove("e-1", 100.0)
        assert names(directory) == []

    def test_entries_that_expired_in_an_outage_get_time_to_return(self):
        directory = EndpointDirectory()
        directory.replace_all([make_endpoint("e-1"), make_endpoint("e-2")], 0.0)
        directory.on_discovery_lost(40.0)
        directory.on_discovery_restored(50.0)
        directory.replace_all([], 50.1)
        assert names(directory) == ["e-1", "e-2"]
        directory.put(make_endpoint("e-2"))
        assert directory.expire(50.0 + REREGISTRATION_GRACE_S) == ["e-1"]
        assert names(directory) == ["e-2"]

    def test_a_leaving_endpoint_gets_no_grace(self):
        directory = EndpointDirectory()
        directory.put(make_endpoint("e-1", leaving=True))
        directory.on_discovery_lost(40.0)
        directory.on_discovery_restored(50.0)
        directory.remove("e-1", 50.1)
        assert directory.get("e-1") is None

    def test_an_endpoint_may_change_its_service(self):
        directory = EndpointDirectory()
        directory.put(make_endpoint("e-1"))
        directory.put(make_endpoint("e-1", service="other"))
        assert names(directory) == []
        assert len(directory.usable("other")) == 1

    def test_a_short_cut_lets_no_entry_expire(self):
        directory = EndpointDirectory()
        directory.put(make_endpoint("e-1"))
        directory.on_discovery_lost(49.0)
        directory.on_discovery_restored(49.5)
        directory.remove("e-1", 49.6)
        assert names(directory) == []

    def test_a_node_served_by_another_has_no_outage_of_its_own(self):
        """Only this node was cut off; what leaves afterwards is gone."""
        directory = EndpointDirectory()
        endpoints = [make_endpoint("e-1"), make_endpoint("e-2")]
        directory.replace_all(endpoints, 0.0)
        directory.on_discovery_lost(1.0)
        for now_s in range(2, 13):
            directory.merge(endpoints, float(now_s))
        directory.on_discovery_restored(13.0)
        directory.remove("e-1", 14.0)
        assert names(directory) == ["e-2"]

    def test_entries_that_another_node_lacks_get_time_to_return(self):
        """The other node has just got the discovery back after an outage."""
        directory = EndpointDirectory()
        directory.replace_all([make_endpoint("e-1")], 0.0)
        directory.on_discovery_lost(1.0)
        directory.merge([], 10.0)
        directory.on_discovery_restored(10.5)
        directory.replace_all([], 10.5)
        assert names(directory) == ["e-1"]
        assert directory.expire(10.0 + REREGISTRATION_GRACE_S) == ["e-1"]

    def test_a_leaving_endpoint_that_another_node_lacks_is_gone(self):
        directory = EndpointDirectory()
        directory.put(make_endpoint("e-1", leaving=True))
        directory.on_discovery_lost(1.0)
        directory.merge([], 10.0)
        assert directory.get("e-1") is None
