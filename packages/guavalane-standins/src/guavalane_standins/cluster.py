"""Test cluster of entry nodes and stand-ins, each in its own process."""

from __future__ import annotations

import json
import os
import secrets
import shutil
import subprocess
import sys
import time
from collections.abc import Iterable
from typing import Any

import attrs

from guavalane_core.requests import digest_key
from guavalane_standins.processes import (
    POLL_INTERVAL_S,
    ProcessGroup,
    fetch,
    free_port,
    wait_until_answers,
)

ORGANISATION_KEYS = {"north": "north-key-1", "south": "south-key-1"}
COMMAND_TIMEOUT_S = 60.0
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")


@attrs.frozen
class NodeHandle:
    """Addresses and settings of one entry node.

    Attributes:
      name: Name of the node and of its process.
      callers: Base URL of the caller listener.
      operators: Base URL of the operator listener.
      peers: Address of the peer listener, `IP:PORT`.
      settings: Contents of the settings file.
    """

    name: str
    callers: str
    operators: str
    peers: str
    settings: dict[str, Any]


class Cluster:
    """Starts stand-ins and entry nodes and controls them over HTTP.

    Args:
      group: Process group to start processes in; the caller stops it.
    """

    def __init__(self, group: ProcessGroup) -> None:
        self._group = group
        self._node_secret = secrets.token_hex(16)
        self._operator_token = secrets.token_hex(16)
        self._endpoints: dict[str, dict[str, Any]] = {}
        self._weights_bytes_per_s = 0.0
        self.nodes: dict[str, NodeHandle] = {}
        self.urls: dict[str, str] = {}

    @property
    def operator_headers(self) -> dict[str, str]:
        """Authorization header of operator requests."""
        return {"Authorization": f"Bearer {self._operator_token}"}

    @property
    def operator_token(self) -> str:
        """Bearer token of operators."""
        return self._operator_token

    def start_platform(self) -> None:
        """Starts the object API, the cloud API and the VM list."""
        for module in ("objects", "cloud", "vms"):
            self.urls[module] = self._group.start_standin(module, module)
        wait_until_answers(f"{self.urls['objects']}/standin/calls")
        wait_until_answers(f"{self.urls['vms']}/endpointslices")
        wait_until_answers(f"{self.urls['cloud']}/standin/calls")

    def start_weights(self, size_bytes: int, bytes_per_s: float) -> None:
        """Starts the weight store; engines started afterwards load from it."""
        self.urls["weights"] = self._group.start_standin(
            "weights", "weights", size_bytes=size_bytes, bytes_per_s=bytes_per_s
        )
        self._weights_bytes_per_s = bytes_per_s
        wait_until_answers(f"{self.urls['weights']}/standin/seen")

    def start_engine(
        self, name: str, zone: str, version: str = "v1", **extra: Any
    ) -> None:
        """Starts a model engine of deployment `assistant`."""
        self._start_endpoint("engine", name, zone, "assistant", version, extra)
        if "weights" in self.urls:
            self.set_order_behaviour(
                name,
                weights_url=self.urls["weights"],
                checks_fencing=extra.get("checks_fencing", False),
            )

    def start_service(self, name: str, zone: str, **extra: Any) -> None:
        """Starts a plain service of deployment `certificates`."""
        self._start_endpoint("service", name, zone, "certificates", "v1", extra)

    def _start_endpoint(
        self,
        module: str,
        name: str,
        zone: str,
        deployment: str,
        version: str,
        extra: dict[str, Any],
    ) -> None:
        arguments = {"name": name}
        if module == "engine":
            arguments["version"] = version
        url = self._group.start_standin(module, name, **arguments)
        self.urls[name] = url
        self._endpoints[name] = {
            "url": url,
            "zone": zone,
            "deployment": deployment,
            "version": version,
            **extra,
        }
        wait_until_answers(f"{url}/health")

    def configuration(self) -> dict[str, Any]:
        """Returns a configuration with all endpoints started so far."""
        route = {"kind": "model", "deployment": "assistant"}
        service = {"kind": "service", "deployment": "certificates"}
        versions = {
            e["version"]: {"share": 0.0}
            for e in self._endpoints.values()
            if e["deployment"] == "assistant"
        }
        for version in versions.values():
            version["share"] = 1.0 / len(versions)
        return {
            "organisations": {
                name: {"key_sha256": [digest_key(key)]}
                for name, key in ORGANISATION_KEYS.items()
            },
            "deployments": {
                "assistant": {
                    "versions": versions or {"v1": {}},
                    "weight_store_bytes_per_s": self._weights_bytes_per_s,
                },
                "certificates": {"versions": {"v1": {}}},
            },
            "routes": {
                "chat": {
                    **route,
                    "model": "assistant",
                    "request_class": "interactive",
                    "stall_ms": 1000,
                },
                "plans": {
                    **route,
                    "model": "planner",
                    "request_class": "durable",
                    "stall_ms": 1000,
                    "priority": 80,
                },
                "certificates": {
                    **service,
                    "path": "/certificates",
                    "request_class": "at_most_once",
                },
                "orders": {
                    **service,
                    "path": "/orders",
                    "request_class": "durable",
                },
                "records": {
                    **service,
                    "path": "/records",
                    "request_class": "idempotent",
                },
            },
            "endpoints": dict(self._endpoints),
        }

    def start_node(self, name: str, zone: str, **overrides: Any) -> NodeHandle:
        """Starts an entry node and waits until its readiness check passes."""
        handle = self.write_settings(name, zone, **overrides)
        self.run_node(handle)
        wait_until_answers(f"{handle.callers}/readyz")
        return handle

    def write_settings(
        self,
        name: str,
        zone: str,
        peer_host: str = "127.0.0.1",
        **overrides: Any,
    ) -> NodeHandle:
        """Writes the settings and configuration files of a node."""
        ports = [free_port() for _ in range(3)]
        configuration = self._group.folder / "configuration.json"
        configuration.write_text(json.dumps(self.configuration()))
        settings = {
            "name": name,
            "zone": zone,
            "callers": {"port": ports[0]},
            "operators": {"port": ports[1]},
            "peers": {"host": peer_host, "port": ports[2]},
            "seeds": [node.peers for node in self.nodes.values()],
            "node_secret": self._node_secret,
            "operator_token": self._operator_token,
            "object_api": {"kind": "http", "url": self.urls["objects"]},
            "vm_list_url": f"{self.urls['vms']}/endpointslices",
            "notice_url": f"{self.urls['cloud']}/vm/{name}"
            "/computeMetadata/v1/instance/preempted",
            "configuration_file": str(configuration),
            **overrides,
        }
        path = self._group.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        handle = NodeHandle(
            name,
            f"http://127.0.0.1:{ports[0]}",
            f"http://127.0.0.1:{ports[1]}",
            f"{peer_host}:{ports[2]}",
            settings,
        )
        self.nodes[name] = handle
        return handle

    def start_node_behind_relay(
        self, name: str, zone: str, **overrides: Any
    ) -> NodeHandle:
        """Starts a node whose peers connect through a TCP relay."""
        listen = free_port()
        handle = self.write_settings(
            name, zone, advertised_peers=f"127.0.0.1:{listen}", **overrides
        )
        self.start_relay(name, handle.peers, listen)
        self.run_node(handle)
        wait_until_answers(f"{handle.callers}/readyz")
        return handle

    def start_relay(self, name: str, target: str, listen: int) -> None:
        """Starts a TCP relay from a local port to a target address."""
        relay = f"relay-{name}"
        self.urls[relay] = self._group.start_standin(
            "relay", relay, listen=listen, target=target
        )
        wait_until_answers(f"{self.urls[relay]}/standin/cut")

    def set_partition(self, relay: str, **partition: bool | list[str]) -> None:
        """Sets the traffic that a relay drops; see `relay.Partition`."""
        fetch(f"{self.urls[f'relay-{relay}']}/standin/cut", body=partition)

    def add_listed_vm(self, name: str, address: str, zone: str) -> None:
        """Adds a VM to the VM list."""
        vm = {"name": name, "address": address, "zone": zone}
        fetch(f"{self.urls['vms']}/standin/vms", body=vm)

    def run_node(self, handle: NodeHandle) -> None:
        """Starts the process of a node from its settings file."""
        binary = shutil.which("guavalane-entry", path=_binary_folder())
        settings = str(self._group.folder / f"{handle.name}.json")
        self._group.start(handle.name, [binary, settings])

    def start_node_with_other_secret(self, name: str, zone: str) -> None:
        """Starts a node whose node secret differs from that of the cluster."""
        secret = secrets.token_hex(16)
        self.run_node(self.write_settings(name, zone, node_secret=secret))

    def process_log(self, name: str) -> str:
        """Returns the output that a process has written so far."""
        return self._group.log(name)

    def wait_for_log(self, name: str, text: str, limit_s: float = 10.0) -> str:
        """Waits until the log of a process contains a text and returns the log.

        Raises:
          TimeoutError: The text did not appear within the time limit.
        """
        end = time.monotonic() + limit_s
        while text not in (log := self._group.log(name)):
            if time.monotonic() > end:
                raise TimeoutError(
                    f"{name} did not log {text!r} within {limit_s} s:\n{log}"
                )
            time.sleep(POLL_INTERVAL_S)
        return log

    def run_command(
        self, node: str, *arguments: str
    ) -> subprocess.CompletedProcess[str]:
        """Runs the operator command-line client against a node."""
        return subprocess.run(
            [sys.executable, "-m", "guavalane_cli.main", *arguments],
            env={
                **os.environ,
                "GUAVALANE_URL": self.nodes[node].operators,
                "GUAVALANE_TOKEN": self._operator_token,
            },
            capture_output=True,
            text=True,
            timeout=COMMAND_TIMEOUT_S,
        )

    def operator_get(self, node: str, report: str) -> Any:
        """Returns a report of the operator API of a node."""
        url = f"{self.nodes[node].operators}/operator/{report}"
        status, text = fetch(url, headers=self.operator_headers)
        if status != 200:
            raise RuntimeError(f"{url}: status {status}: {text}")
        return json.loads(text)

    def endpoint_stats(self, endpoint: str) -> dict[str, Any]:
        """Returns the requests and counters recorded by a stand-in endpoint."""
        return json.loads(fetch(f"{self.urls[endpoint]}/standin/seen")[1])

    def set_behaviour(self, endpoint: str, **fields: Any) -> None:
        """Sets the behaviour of a stand-in endpoint."""
        url = f"{self.urls[endpoint]}/standin/behaviour"
        status, text = fetch(url, body=fields)
        if status != 200:
            raise RuntimeError(f"{url}: status {status}: {text}")

    def clear_cache(self, engine: str) -> None:
        """Empties the prefix cache of a stand-in engine."""
        fetch(f"{self.urls[engine]}/standin/lose_cache", body={})

    def set_order_behaviour(self, endpoint: str, **fields: Any) -> None:
        """Sets the behaviour of the order API of a stand-in engine."""
        url = f"{self.urls[endpoint]}/standin/orders"
        status, text = fetch(url, body=fields)
        if status != 200:
            raise RuntimeError(f"{url}: status {status}: {text}")

    def accepted_orders(self, endpoint: str) -> list[dict[str, Any]]:
        """Returns the orders that a stand-in engine accepted, oldest first."""
        _, text = fetch(f"{self.urls[endpoint]}/standin/orders")
        return json.loads(text)["orders"]

    def set_cloud_faults(self, **fields: Any) -> None:
        """Sets the injected faults of the cloud API."""
        fetch(f"{self.urls['cloud']}/standin/faults", body=fields)

    def cloud_calls(self, action: str = "insert") -> list[dict[str, Any]]:
        """Returns the requests that the cloud API received, oldest first."""
        text = fetch(f"{self.urls['cloud']}/standin/calls")[1]
        return [c for c in json.loads(text) if c["action"] == action]

    def cloud_vms(self, zones: Iterable[str] = ZONES) -> list[dict[str, Any]]:
        """Returns the VMs that the cloud API lists."""
        base = f"{self.urls['cloud']}/compute/v1/projects/guavalane/zones"
        return [
            item
            for zone in zones
            for item in json.loads(fetch(f"{base}/{zone}/instances")[1])[
                "items"
            ]
        ]

    def terminate_vms(self, names: list[str]) -> None:
        """Terminates VMs without a reclaim notice."""
        fetch(f"{self.urls['cloud']}/standin/end", body={"names": names})

    def reclaim_vms(self, names: list[str]) -> None:
        """Sends reclaim notices to VMs."""
        fetch(f"{self.urls['cloud']}/standin/reclaim", body={"names": names})

    def create_object(self, kind: str, name: str, body: dict) -> None:
        """Creates an object in the object API."""
        url = f"{self.urls['objects']}/apis/guavalane.dev/v1/namespaces/default"
        resource = {"metadata": {"name": name}, "spec": body}
        status, text = fetch(f"{url}/{kind}", body=resource)
        if status != 201:
            raise RuntimeError(f"{kind}/{name}: status {status}: {text}")

    def set_object_api_faults(self, **fields: Any) -> None:
        """Sets the injected faults of the object API."""
        fetch(f"{self.urls['objects']}/standin/faults", body=fields)


def caller_headers(organisation: str = "north", **extra: str) -> dict[str, str]:
    """Returns the headers of a caller request; `extra` adds headers."""
    key = ORGANISATION_KEYS[organisation]
    return {"Authorization": f"Bearer {key}", **extra}


def _binary_folder() -> str:
    return sys.executable.rpartition("/")[0]
