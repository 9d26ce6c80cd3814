"""Tests of the connections between entry nodes."""

from __future__ import annotations

import asyncio
import contextlib
import json

import pytest

from guavalane_core import messages
from guavalane_core.exceptions import MessageError
from guavalane_core.messages.codec import MAX_FRAME_BYTES
from guavalane_core.settings import parse_settings
from guavalane_core.timers import ManualTimers
from guavalane_entry.peers.connections import (
    IDLE_TIMEOUT_S,
    MAX_PENDING_FRAMES,
    PeerLinks,
)
from guavalane_standins.processes import free_port


def make_links(name, timers):
    """Returns the links of a node with a free port."""
    settings = {
        "name": name,
        "zone": "zone-a",
        "callers": {"port": 1},
        "operators": {"port": 2},
        "peers": {"port": free_port()},
        "node_secret": "x" * 16,
        "operator_token": "x" * 16,
    }
    parsed = parse_settings(json.dumps(settings))
    return PeerLinks(parsed, 1, lambda: 0, timers)


@contextlib.asynccontextmanager
async def running_pair():
    """Yields the links of two nodes, their timers and messages to n1."""
    timers = ManualTimers()
    links = [make_links(f"n{i}", timers) for i in range(2)]
    received = []
    links[1].on_message(
        messages.ConfigRequest, lambda _, m: received.append(m.generation)
    )
    for link in links:
        await link.start()
    yield *links, timers, received
    for link in links:
        await link.stop()


async def wait_for(condition):
    """Waits until a condition is true."""
    for _ in range(500):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition did not come true in time")


class TestPeerLinks:
    """Guards against lost messages and unbounded connections."""

    async def test_messages_wait_for_the_connection_in_order(self):
        async with running_pair() as (first, second, _, received):
            for number in range(MAX_PENDING_FRAMES + 1):
                message = messages.ConfigRequest(generation=number)
                assert not first.send("n1", message, second.address)
            await wait_for(lambda: len(received) == MAX_PENDING_FRAMES)
            assert received == list(range(MAX_PENDING_FRAMES))
            assert first.send("n1", messages.ConfigRequest(generation=99))
            await wait_for(lambda: received[-1] == 99)

    async def test_too_large_message_is_refused_before_dialling(self):
        async with running_pair() as (first, second, _, _):
            body = {"a": "x" * MAX_FRAME_BYTES}
            message = messages.ConfigFull(generation=1, body=body)
            with pytest.raises(MessageError):
                first.send("n1", message, second.address)
            await asyncio.sleep(0.1)
            assert not first.peers

    async def test_idle_connection_is_closed_but_for_those_to_keep(self):
        async with running_pair() as (first, second, timers, _):
            first.dial(second.address)
            await wait_for(lambda: first.peers and second.peers)
            timers.advance(IDLE_TIMEOUT_S + 1)
            first.close_idle({"n1"})
            await asyncio.sleep(0.1)
            assert first.peers
            first.close_idle(set())
            await wait_for(lambda: not first.peers and not second.peers)

    async def test_connection_without_answer_is_replaced(self):
        async with running_pair() as (first, second, timers, received):
            first.dial(second.address)
            await wait_for(lambda: first.peers)
            timers.advance(1)
            sent_at = timers.now()
            first.send("n1", messages.ConfigRequest(generation=4))
            old = first.find("n1")
            timers.advance(1)
            message = messages.ConfigRequest(generation=5)
            first.send_over_new(message, second.address)
            await wait_for(lambda: received == [4, 5])
            new = first.find("n1")
            assert new is not old
            first.close_stale("n1", sent_at)
            await wait_for(lambda: len(second.peers) == 1)
            assert first.find("n1") is new
            timers.advance(IDLE_TIMEOUT_S + 1)
            first.close_idle({"n1"})
            first.send("n1", messages.ConfigRequest(generation=6))
            await wait_for(lambda: received == [4, 5, 6])

    async def test_only_one_idle_connection_to_a_node_is_kept(self):
        async with running_pair() as (first, second, timers, received):
            first.dial(second.address)
            await wait_for(lambda: first.peers)
            old = first.find("n1")
            timers.advance(1)
            message = messages.ConfigRequest(generation=5)
            first.send_over_new(message, second.address)
            await wait_for(lambda: received == [5])
            timers.advance(IDLE_TIMEOUT_S + 1)
            first.close_idle({"n1"})
            await wait_for(lambda: old.closed)
            assert not first.find("n1").closed
