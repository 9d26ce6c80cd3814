"""Demo: sends a chat completion and a service call through two entry nodes."""

from __future__ import annotations

import json
import re

from guavalane_standins import text
from guavalane_standins.cluster import Cluster, caller_headers
from guavalane_standins.processes import ProcessGroup, fetch

QUESTION = [{"role": "user", "content": "Why did the kettle fail its test?"}]
TOKENS = 12


def stream_chat(url: str) -> tuple[str, str]:
    """Returns the content of a streamed completion and its last event."""
    body = {
        "model": "assistant",
        "messages": QUESTION,
        "max_tokens": TOKENS,
        "stream": True,
    }
    status, response = fetch(
        f"{url}/v1/chat/completions", body=body, headers=caller_headers()
    )
    if status != 200:
        raise RuntimeError(f"chat completion: status {status}: {response}")
    events = re.findall(r"^data: (.*)$", response, re.MULTILINE)
    content = "".join(
        choice["delta"].get("content", "")
        for event in events[:-1]
        for choice in json.loads(event)["choices"]
    )
    return content, events[-1]


def issue_certificate(url: str, key: str) -> dict:
    """Requests a certificate and returns the decoded response."""
    status, response = fetch(
        f"{url}/certificates",
        body={"item": "kettle 14"},
        headers=caller_headers(**{"Idempotency-Key": key}),
    )
    if status != 201:
        raise RuntimeError(f"certificate: status {status}: {response}")
    return json.loads(response)


def run(cluster: Cluster) -> None:
    """Starts the cluster and checks one request of each kind.

    Raises:
      RuntimeError: A response is not the expected one.
    """
    cluster.start_platform()
    cluster.start_engine("engine-a", "zone-a")
    cluster.start_engine("engine-b", "zone-b")
    cluster.start_service("certificates-a", "zone-a")
    first = cluster.start_node("entry-a", "zone-a")
    second = cluster.start_node("entry-b", "zone-b")
    print(f"entry nodes: {first.name} (zone-a), {second.name} (zone-b)")
    content, last = stream_chat(first.callers)
    if content != text.make_completion(QUESTION, TOKENS) or last != "[DONE]":
        raise RuntimeError(
            f"unexpected completion: {content!r}, last event {last!r}"
        )
    engines = [
        name
        for name in ("engine-a", "engine-b")
        if cluster.endpoint_stats(name)["requests"]
    ]
    print(f"chat completion of {TOKENS} tokens, served by {engines[0]}:")
    print(f"  {content}")
    certificate = issue_certificate(second.callers, "demo-1")
    print(f"certificate {certificate['serial']}, served by")
    print(f"  {certificate['served_by']}")
    calls = cluster.endpoint_stats("certificates-a")["requests"]
    if len(calls) != 1:
        raise RuntimeError(f"the service received {len(calls)} calls, not 1")
    status = cluster.operator_get(first.name, "status")
    print(f"configuration generation {status['generation']} is in force")


def main() -> None:
    """Runs the demo and stops all processes."""
    with ProcessGroup() as group:
        try:
            run(Cluster(group))
        except Exception:
            for name in ("entry-a", "entry-b"):
                if (group.folder / f"{name}.log").exists():
                    print(f"--- {name}\n{group.log(name)}")
            raise
    print("all processes stopped")


if __name__ == "__main__":
    main()
