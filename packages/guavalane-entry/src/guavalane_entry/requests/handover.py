"""Handover of requests in flight before the node's VM is reclaimed."""

from __future__ import annotations

import asyncio

from loguru import logger as log

from guavalane_core.exceptions import GuavalaneError, MessageError
from guavalane_core.membership import Member, State
from guavalane_core.messages import Handover, HandoverAck
from guavalane_core.requests import RequestContext, RouteTable, rank_nodes
from guavalane_core.streams import StreamSplice
from guavalane_core.timers import Timers
from guavalane_entry.callers.chat import DONE_EVENT, parse_chat
from guavalane_entry.callers.stream_log import pack_events, unpack_events
from guavalane_entry.peers.connections import Peer, PeerLinks
from guavalane_entry.peers.membership import MembershipRunner
from guavalane_entry.requests.durable import DurableRunner
from guavalane_entry.requests.executions import Executions
from guavalane_entry.requests.runs import Run, RunTable

# Time in which a peer must acknowledge a request before the next peer is tried,
# in seconds.
ACK_TIMEOUT_S = 0.8
MAX_PEERS = 2


class HandoverCoordinator:
    """Hands requests over to peers and accepts those of other nodes.

    Args:
      node: Name of this node.
      zone: Availability zone of this node.
      membership: Members of the cluster, which are the candidates.
      links: Connections to peers.
      runs: Runs on this node.
      durable: Runs of durable requests.
      executions: Tracks the work in flight.
      timers: Timer service.
    """

    def __init__(
        self,
        node: str,
        zone: str,
        membership: MembershipRunner,
        links: PeerLinks,
        runs: RunTable,
        durable: DurableRunner,
        executions: Executions,
        timers: Timers,
    ) -> None:
        self._node = node
        self._zone = zone
        self._membership = membership
        self._links = links
        self._runs = runs
        self._durable = durable
        self._executions = executions
        self._timers = timers
        self._table: RouteTable | None = None
        self._accepting = True
        self._pending_acks: dict[str, asyncio.Event] = {}
        links.on_message(Handover, self._handle_handover)
        links.on_message(HandoverAck, self._handle_ack)

    def apply(self, table: RouteTable) -> None:
        """Applies a new route table."""
        self._table = table

    def stop_accepting(self) -> None:
        """Stops accepting requests of other nodes."""
        self._accepting = False

    async def hand_over_all(self) -> int:
        """Hands over every unanswered run.

        Returns:
          Number of runs that no peer accepted.
        """
        runs = [
            run
            for run in self._runs.unanswered_runs
            if self._can_hand_over(run)
        ]
        moved = await asyncio.gather(*(self._hand_over(run) for run in runs))
        return moved.count(False)

    def _can_hand_over(self, run: Run) -> bool:
        events = run.log.events
        complete = bool(events) and events[-1].data == DONE_EVENT
        return not complete and (run.chat is not None or run.durable)

    async def _hand_over(self, run: Run) -> bool:
        await self._runs.pause(run)
        if run.answer.done():
            return True
        if run.splice.finished:
            # Only the final event of the stream is missing.
            self._runs.resume(run)
            return True
        for member in self._candidates(run.request_id):
            if await self._offer(member, run):
                log.info(
                    "handover: {} continues on {}", run.request_id, member.name
                )
                self._runs.move(run, member.name)
                return True
        log.warning("handover: no peer accepted {}", run.request_id)
        self._runs.resume(run)
        return False

    def _candidates(self, request_id: str) -> list[Member]:
        members = {
            member.name: member
            for member in self._membership.live_members
            if member.state is State.ALIVE and member.name != self._node
        }
        ranked = [members[name] for name in rank_nodes(request_id, members)]
        # An availability zone may be reclaimed as a whole, so peers in the same
        # zone come last.
        ranked.sort(key=lambda member: member.zone == self._zone)
        return ranked[:MAX_PEERS]

    async def _offer(self, member: Member, run: Run) -> bool:
        context = run.context
        remaining = context.remaining_s(self._timers.now())
        message = Handover(
            request_id=run.request_id,
            organisation=context.organisation,
            route=context.route_name,
            body=context.body,
            tokens=run.splice.tokens,
            text=run.splice.text,
            remaining_ms=int(remaining * 1000),
            events=pack_events(run.log.events),
        )
        acked = self._pending_acks[run.request_id] = asyncio.Event()
        try:
            self._links.send(member.name, message, member.address)
            async with asyncio.timeout(ACK_TIMEOUT_S):
                await acked.wait()
        except (TimeoutError, MessageError) as error:
            log.warning(
                "handover: {} did not acknowledge {}: {!r}",
                member.name,
                run.request_id,
                error,
            )
            return False
        finally:
            del self._pending_acks[run.request_id]
        return True

    def _handle_ack(self, _: Peer, message: HandoverAck) -> None:
        waiting = self._pending_acks.get(message.request_id)
        if waiting is not None:
            waiting.set()

    def _handle_handover(self, peer: Peer, message: Handover) -> None:
        if self._accepting and self._table is not None:
            self._executions.spawn(self._take_over(peer, message))

    async def _take_over(self, peer: Peer, message: Handover) -> None:
        known = self._runs.find(message.request_id, message.organisation)
        if known is None:
            try:
                await self._start(message)
            except GuavalaneError as error:
                log.warning(
                    "handover: cannot accept {}: {}", message.request_id, error
                )
                return
        peer.send(HandoverAck(request_id=message.request_id))

    async def _start(self, message: Handover) -> None:
        route = self._table.named_route(message.route)
        context = RequestContext(
            request_id=message.request_id,
            organisation=message.organisation,
            route_name=message.route,
            route=route,
            deadline_s=self._timers.now() + message.remaining_ms / 1000,
            body=message.body,
            sent=True,
        )
        progress = {
            "events": unpack_events(message.events),
            "splice": StreamSplice(message.tokens, message.text),
        }
        chat = parse_chat(message.body) if route.kind == "model" else None
        if route.request_class == "durable":
            await self._durable.take_over(context, chat, **progress)
        else:
            self._runs.start(context, chat, detached=True, **progress)
