"""Tests of request lookup on other nodes."""

from __future__ import annotations

import asyncio

from guavalane_core.configuration import Route
from guavalane_core.messages import RequestQuery
from guavalane_core.requests import RequestContext
from guavalane_core.timers import ManualTimers
from guavalane_entry.callers.chat import StreamEvent
from guavalane_entry.requests.executions import Executions
from guavalane_entry.requests.lookup import RequestLookup
from guavalane_entry.requests.runs import RunTable

ROUTE = Route(
    kind="model", request_class="interactive", deployment="d", model="m"
)
QUERY = RequestQuery(
    query=1, request_id="a-1", organisation="org", position=0, after=0
)


class StubChatRunner:
    """Produces one event and then blocks."""

    async def stream(self, request, chat, sink, splice):
        sink.extend([StreamEvent(b"data: {}", 1, "engine-a")])
        await asyncio.Event().wait()


class StubPeerLinks:
    """Records the message handlers."""

    def __init__(self):
        self.handlers = {}

    def on_message(self, cls, handler):
        self.handlers[cls] = handler


class StubPeer:
    """Records the messages that are sent to it."""

    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


class TestRequestLookup:
    """Guards against a node that answers for a request it handed over."""

    async def test_moved_run_is_unknown_to_its_old_node(self):
        executions, links = Executions(), StubPeerLinks()
        runs = RunTable(StubChatRunner(), None, executions, ManualTimers())
        RequestLookup("a", None, links, runs, None, executions)
        context = RequestContext(
            request_id="a-1",
            organisation="org",
            route_name="chat",
            route=ROUTE,
            deadline_s=60.0,
        )
        run = runs.start(context, {"stream": True}, detached=True)
        await run.log.wait_beyond(0, 1.0)
        states = []
        for _ in range(2):
            peer = StubPeer()
            links.handlers[RequestQuery](peer, QUERY)
            for _ in range(3):
                await asyncio.sleep(0)
            states.append([message.state for message in peer.sent])
            await runs.pause(run)
            runs.move(run, "b")
        assert states == [["streaming"], ["unknown"]]
