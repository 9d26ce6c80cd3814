"""Lookup of requests by ID on this node, on peers and in the object API."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator
from typing import Any

import attrs
from loguru import logger as log

from guavalane_core.exceptions import (
    LookupUnavailableError,
    ObjectApiError,
    ObjectNotFoundError,
    RequestError,
    StreamMovedError,
    UnknownRequestError,
)
from guavalane_core.messages import RequestQuery, RequestReply
from guavalane_core.records import Record
from guavalane_core.requests import StoredAnswer, rank_nodes
from guavalane_entry.callers.chat import StreamEvent
from guavalane_entry.callers.stream_log import (
    LogReader,
    StreamLog,
    index_after,
    pack_events,
    unpack_events,
)
from guavalane_entry.callers.web import problem_body
from guavalane_entry.peers.connections import Peer, PeerLinks
from guavalane_entry.peers.membership import MembershipRunner
from guavalane_entry.requests.durable import DurableRunner
from guavalane_entry.requests.executions import Executions
from guavalane_entry.requests.runs import Run, RunTable

# Longest time that a node holds a query open while it has no new events, in
# seconds.
LONG_POLL_S = 1.0
REPLY_TIMEOUT_S = 2.0
MAX_QUERY_ATTEMPTS = 3
# Highest-ranked nodes that are queried in addition to the likely owners. A
# handover goes to one of the two highest-ranked nodes outside the sender's
# availability zone.
MAX_QUERIED_NODES = 12
# Keeps a reply well below the maximum frame size.
MAX_REPLY_EVENTS = 500


class RemoteError(RequestError):
    """Error reported by another node.

    Args:
      problem: Problem document.
    """

    def __init__(self, problem: dict[str, Any]) -> None:
        super().__init__(problem["detail"], not_run=problem["not_run"])
        self.code = problem["code"]
        self.status = problem["status"]


@attrs.frozen
class LookupResult:
    """State of a request.

    Attributes:
      answer: Complete answer, if available.
      events: Events of a streamed answer; iteration waits for events that
          are not produced yet.
    """

    answer: StoredAnswer | None = None
    events: AsyncIterator[StreamEvent] | None = None


def _replay_events(answer: StoredAnswer, after: int) -> LogReader:
    log_ = StreamLog(unpack_events(answer.body))
    log_.end()
    return log_.follow(after)


class RequestLookup:
    """Finds requests that any node of the cluster accepted.

    Args:
      node: Name of this node.
      membership: Members of the cluster, which may hold a request.
      links: Connections to peers.
      runs: Runs on this node.
      durable: Records of durable requests.
      executions: Tracks the work in flight.
    """

    def __init__(
        self,
        node: str,
        membership: MembershipRunner,
        links: PeerLinks,
        runs: RunTable,
        durable: DurableRunner,
        executions: Executions,
    ) -> None:
        self._node = node
        self._membership = membership
        self._links = links
        self._runs = runs
        self._durable = durable
        self._executions = executions
        self._query_ids = itertools.count(1)
        self._replies: dict[int, asyncio.Queue[tuple[Peer, RequestReply]]] = {}
        links.on_message(RequestQuery, self._handle_query)
        links.on_message(RequestReply, self._handle_reply)

    async def find(
        self, request_id: str, organisation: str, after: int, hint: str
    ) -> LookupResult:
        """Finds a request of an organisation.

        Args:
          request_id: ID of the request.
          organisation: Organisation of the caller.
          after: Number of tokens that the caller already received.
          hint: Name of the node to query first; empty for none.

        Raises:
          RequestError: The request is unknown or failed, or the lookup is
            unavailable.
        """
        run = self._runs.find(request_id, organisation)
        if run is not None and not run.moving:
            return await self._from_local_run(run, after)
        members = {
            member.name: member.address
            for member in self._membership.live_members
            if member.name != self._node
        }
        first = {name: at for name, at in members.items() if name == hint}
        found = await self._query_nodes(request_id, organisation, after, first)
        if found is not None:
            return found
        outage: ObjectApiError | None = None
        running: Record | None = None
        try:
            record = await self._durable.get(request_id)
            if record.request.organisation == organisation:
                if record.answer is not None:
                    return self._from_stored_answer(record.answer, after)
                running = record
        except ObjectNotFoundError:
            pass
        except ObjectApiError as error:
            outage = error
        names = rank_nodes(request_id, members.keys() - first.keys())
        # A request ID contains the name of the node that accepted it.
        likely_owners = {request_id.rpartition("-")[0]}
        if running is not None:
            likely_owners.add(running.owner)
        others = {
            name: members[name]
            for name in {
                *names[:MAX_QUERIED_NODES],
                *likely_owners.intersection(names),
            }
        }
        found = await self._query_nodes(request_id, organisation, after, others)
        if found is not None:
            return found
        if running is not None:
            await self._durable.adopt_if_owner_gone(running)
            return LookupResult()
        if outage is not None:
            raise LookupUnavailableError(
                f"the object API cannot be asked: {outage}", not_run=False
            )
        raise UnknownRequestError(
            f"no request {request_id!r} is known", not_run=False
        )

    async def _from_local_run(self, run: Run, after: int) -> LookupResult:
        if run.streamed and (run.log.error is None or run.log.events):
            return LookupResult(events=run.log.follow(after))
        if run.answer.done():
            return self._from_stored_answer(run.answer.result(), after)
        return LookupResult()

    def _from_stored_answer(
        self, answer: StoredAnswer, after: int
    ) -> LookupResult:
        if answer.streamed and not answer.dropped:
            return LookupResult(events=_replay_events(answer, after))
        return LookupResult(answer=answer)

    async def _query_nodes(
        self,
        request_id: str,
        organisation: str,
        after: int,
        nodes: dict[str, str],
    ) -> LookupResult | None:
        """Queries nodes in parallel; returns None if none holds the request."""
        if not nodes:
            return None
        number = next(self._query_ids)
        replies = self._replies[number] = asyncio.Queue()
        query = RequestQuery(
            query=number,
            request_id=request_id,
            organisation=organisation,
            position=0,
            after=after,
        )
        for name, address in nodes.items():
            self._links.send(name, query, address)
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                for _ in nodes:
                    peer, reply = await replies.get()
                    if reply.state != "unknown":
                        return self._from_reply(peer, query, reply)
        except TimeoutError:
            log.debug(
                "lookup: some nodes did not answer the query for {}", request_id
            )
        finally:
            del self._replies[number]
        return None

    def _from_reply(
        self, peer: Peer, query: RequestQuery, reply: RequestReply
    ) -> LookupResult:
        if reply.state == "running":
            return LookupResult()
        if reply.state == "answered":
            return LookupResult(answer=StoredAnswer.from_plain(reply.detail))
        if reply.state == "failed" and not reply.events:
            raise RemoteError(reply.detail)
        return LookupResult(
            events=self._stream_from_peer(peer.name, query, reply)
        )

    async def _stream_from_peer(
        self, node: str, query: RequestQuery, reply: RequestReply
    ) -> AsyncIterator[StreamEvent]:
        while True:
            for event in unpack_events(reply.events):
                yield event
            if reply.state == "streamed":
                return
            if reply.state == "failed":
                raise RemoteError(reply.detail)
            if reply.state != "streaming":
                raise StreamMovedError(query.request_id)
            query = attrs.evolve(query, position=reply.position)
            reply = await self._query_node(node, query)

    async def _query_node(self, node: str, query: RequestQuery) -> RequestReply:
        for _ in range(MAX_QUERY_ATTEMPTS):
            number = next(self._query_ids)
            replies = self._replies[number] = asyncio.Queue()
            try:
                if self._links.send(node, attrs.evolve(query, query=number)):
                    async with asyncio.timeout(REPLY_TIMEOUT_S):
                        return (await replies.get())[1]
            except TimeoutError:
                continue
            finally:
                del self._replies[number]
            await asyncio.sleep(LONG_POLL_S)
        raise StreamMovedError(query.request_id)

    def _handle_reply(self, peer: Peer, message: RequestReply) -> None:
        replies = self._replies.get(message.query)
        if replies is not None:
            replies.put_nowait((peer, message))

    def _handle_query(self, peer: Peer, message: RequestQuery) -> None:
        run = self._runs.find(message.request_id, message.organisation)
        if run is None or run.moving:
            reply = RequestReply(
                query=message.query,
                state="unknown",
                position=0,
                events=b"",
                detail=None,
            )
            peer.send(reply)
            return
        self._executions.spawn(self._reply(peer, run, message))

    async def _reply(self, peer: Peer, run: Run, query: RequestQuery) -> None:
        state, detail, events = "running", None, b""
        position = query.position
        if run.streamed:
            position = max(position, index_after(run.log.events, query.after))
            await run.log.wait_beyond(position, LONG_POLL_S)
            position = max(position, index_after(run.log.events, query.after))
            batch = run.log.events[position : position + MAX_REPLY_EVENTS]
            position += len(batch)
            events = pack_events(batch)
            state = "streaming"
            if run.log.ended and position >= len(run.log.events):
                state = "streamed"
                if run.log.error is not None:
                    state, detail = "failed", problem_body(run.log.error)
        elif run.answer.done():
            if run.answer.exception() is None:
                state, detail = "answered", run.answer.result().to_plain()
            else:
                state, detail = "failed", problem_body(run.answer.exception())
        peer.send(
            RequestReply(
                query=query.query,
                state=state,
                position=position,
                events=events,
                detail=detail,
            )
        )
