"""Finds requests by ID: here, in the object API, or at a peer."""

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
    first_after,
    pack_events,
    unpack_events,
)
from guavalane_entry.callers.web import problem_body
from guavalane_entry.peers.connections import Peer, PeerLinks
from guavalane_entry.peers.membership import MembershipRunner
from guavalane_entry.requests.durable import DurableRunner
from guavalane_entry.requests.executions import Executions
from guavalane_entry.requests.runs import Run, RunTable

# A holder answers a query at the latest after this time, in seconds.
HOLD_S = 1.0
REPLY_LIMIT_S = 2.0
MAX_TRIES = 3
# Nodes asked for a request that no named node holds. A handover goes to one of
# the first two of the ranking outside the sender's zone.
MAX_ASKED = 12
# Keeps a reply well below the largest frame.
MAX_EVENTS = 500


class RemoteError(RequestError):
    """An error that another node reported.

    Args:
      problem: Problem document.
    """

    def __init__(self, problem: dict[str, Any]) -> None:
        super().__init__(problem["detail"], not_run=problem["not_run"])
        self.code = problem["code"]
        self.status = problem["status"]


@attrs.frozen
class Found:
    """What is known of a request.

    Attributes:
      answer: Whole answer, if there is one.
      events: Events of a stream, if it is one; the first one is due at once
          or when it is produced.
    """

    answer: StoredAnswer | None = None
    events: AsyncIterator[StreamEvent] | None = None


def _replay(answer: StoredAnswer, after: int) -> LogReader:
    log_ = StreamLog(unpack_events(answer.body))
    log_.end()
    return log_.follow(after)


class RequestLookup:
    """Answers for requests that any node of the system accepted.

    Args:
      node: Name of this node.
      membership: Names the nodes that may hold a request.
      links: Connections to peers.
      runs: Runs on this node.
      durable: Records of durable requests.
      executions: Work in flight.
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
        self._numbers = itertools.count(1)
        self._replies: dict[int, asyncio.Queue[tuple[Peer, RequestReply]]] = {}
        links.on_message(RequestQuery, self._take_query)
        links.on_message(RequestReply, self._take_reply)

    async def find(
        self, request_id: str, organisation: str, after: int, hint: str
    ) -> Found:
        """Finds a request of an organisation.

        Args:
          request_id: Request.
          organisation: Organisation of the caller.
          after: Tokens that the caller has.
          hint: Node that is asked first; empty for none.

        Raises:
          RequestError: It is unknown, failed, or nobody can be asked now.
        """
        run = self._runs.find(request_id, organisation)
        if run is not None and not run.moving:
            return await self._local(run, after)
        members = {
            member.name: member.address
            for member in self._membership.live_members
            if member.name != self._node
        }
        first = {name: at for name, at in members.items() if name == hint}
        found = await self._ask(request_id, organisation, after, first)
        if found is not None:
            return found
        outage: ObjectApiError | None = None
        running: Record | None = None
        try:
            record = await self._durable.get(request_id)
            if record.request.organisation == organisation:
                if record.answer is not None:
                    return self._stored(record.answer, after)
                running = record
        except ObjectNotFoundError:
            pass
        except ObjectApiError as error:
            outage = error
        names = rank_nodes(request_id, members.keys() - first.keys())
        # The node that accepted a request is part of its ID.
        likely = {request_id.rpartition("-")[0]}
        if running is not None:
            likely.add(running.owner)
        others = {
            name: members[name]
            for name in {*names[:MAX_ASKED], *likely.intersection(names)}
        }
        found = await self._ask(request_id, organisation, after, others)
        if found is not None:
            return found
        if running is not None:
            await self._durable.adopt_if_gone(running)
            return Found()
        if outage is not None:
            raise LookupUnavailableError(
                f"the object API cannot be asked: {outage}", not_run=False
            )
        raise UnknownRequestError(
            f"no request {request_id!r} is known", not_run=False
        )

    async def _local(self, run: Run, after: int) -> Found:
        if run.streamed and (run.log.error is None or run.log.events):
            return Found(events=run.log.follow(after))
        if run.answer.done():
            return self._stored(run.answer.result(), after)
        return Found()

    def _stored(self, answer: StoredAnswer, after: int) -> Found:
        if answer.streamed and not answer.dropped:
            return Found(events=_replay(answer, after))
        return Found(answer=answer)

    async def _ask(
        self,
        request_id: str,
        organisation: str,
        after: int,
        nodes: dict[str, str],
    ) -> Found | None:
        """Asks nodes at once; None if none of them holds the request."""
        if not nodes:
            return None
        number = next(self._numbers)
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
            async with asyncio.timeout(REPLY_LIMIT_S):
                for _ in nodes:
                    peer, reply = await replies.get()
                    if reply.state != "unknown":
                        return self._found(peer, query, reply)
        except TimeoutError:
            log.debug("lookup: not every node answered for {}", request_id)
        finally:
            del self._replies[number]
        return None

    def _found(
        self, peer: Peer, query: RequestQuery, reply: RequestReply
    ) -> Found:
        if reply.state == "running":
            return Found()
        if reply.state == "answered":
            return Found(answer=StoredAnswer.from_plain(reply.detail))
        if reply.state == "failed" and not reply.events:
            raise RemoteError(reply.detail)
        return Found(events=self._pull(peer.name, query, reply))

    async def _pull(
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
            reply = await self._ask_again(node, query)

    async def _ask_again(self, node: str, query: RequestQuery) -> RequestReply:
        for _ in range(MAX_TRIES):
            number = next(self._numbers)
            replies = self._replies[number] = asyncio.Queue()
            try:
                if self._links.send(node, attrs.evolve(query, query=number)):
                    async with asyncio.timeout(REPLY_LIMIT_S):
                        return (await replies.get())[1]
            except TimeoutError:
                continue
            finally:
                del self._replies[number]
            await asyncio.sleep(HOLD_S)
        raise StreamMovedError(query.request_id)

    def _take_reply(self, peer: Peer, message: RequestReply) -> None:
        replies = self._replies.get(message.query)
        if replies is not None:
            replies.put_nowait((peer, message))

    def _take_query(self, peer: Peer, message: RequestQuery) -> None:
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
            position = max(position, first_after(run.log.events, query.after))
            await run.log.wait_beyond(position, HOLD_S)
            position = max(position, first_after(run.log.events, query.after))
            batch = run.log.events[position : position + MAX_EVENTS]
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
