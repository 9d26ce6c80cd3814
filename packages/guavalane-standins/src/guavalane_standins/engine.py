"""Stand-in for a model engine with an OpenAI-compatible API.

Completions are a deterministic function of the prompt. The engine models a
prefix cache of limited size and injects faults that tests configure.
"""

from __future__ import annotations

import asyncio
import json
from collections import OrderedDict
from typing import Any

import aiohttp
import attrs
import fire
from aiohttp import web

from guavalane_standins import text
from guavalane_standins import web as standin_web
from guavalane_standins.orders import OrderHandler

DEFAULT_MAX_TOKENS = 16
MAX_EXPORTABLE_REQUESTS = 1_000


class InjectedDisconnectError(asyncio.CancelledError):
    """The engine closed the connection as an injected fault.

    The base class is `CancelledError`, because aiohttp ends a cancelled
    request without logging a traceback.
    """


@attrs.define
class Behaviour:
    """Latency and injected faults of the engine.

    Attributes:
      token_s: Decode time per token, in seconds.
      prefill_token_s: Prefill time per uncached prompt token, in seconds.
      fail_status: HTTP status returned for every request; 0 disables the fault.
      fail_after_tokens: Number of tokens after which a stream is disconnected;
          -1 disables the fault.
      fail_streams: Number of upcoming streams that `fail_after_tokens` applies
          to.
      leaving: Whether new requests are rejected with 503 and
          `Connection: close`.
      hang: Whether requests are accepted but never answered.
      duplicate_chunks: Whether each chunk is sent twice.
      skip_token: Index of a token that is omitted once; -1 disables the fault.
      separate_finish: Whether the finish reason is sent in a separate chunk.
      break_before_finish: Whether the next stream is disconnected after its
          last token.
      error_event_at: Index of a token that is replaced by an error event once;
          -1 disables the fault.
      cache_move_s: Latency of a KV cache export, in seconds.
    """

    token_s: float = 0.005
    prefill_token_s: float = 0.0
    fail_status: int = 0
    fail_after_tokens: int = -1
    fail_streams: int = 1_000_000
    leaving: bool = False
    hang: bool = False
    duplicate_chunks: bool = False
    skip_token: int = -1
    separate_finish: bool = False
    break_before_finish: bool = False
    error_event_at: int = -1
    cache_move_s: float = 0.0


@attrs.define
class Counters:
    """Counters of the work of the engine.

    Attributes:
      prefilled_tokens: Prompt tokens computed because they were not cached.
      recomputed_tokens: Prefilled tokens of continued messages, which an engine
          had already generated.
      generated_tokens: Tokens generated.
      cancelled: Requests whose client disconnected.
      imported_tokens: Tokens whose KV cache was imported from another engine.
    """

    prefilled_tokens: int = 0
    recomputed_tokens: int = 0
    generated_tokens: int = 0
    cancelled: int = 0
    imported_tokens: int = 0


class PrefixCache:
    """LRU cache of the number of computed tokens per prompt.

    Args:
      capacity: Maximum number of cached tokens.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._lengths: OrderedDict[str, int] = OrderedDict()

    def lookup(self, prompt: str, wanted: int) -> int:
        """Returns the cached prefix length, at most `wanted` tokens."""
        if prompt not in self._lengths:
            return 0
        self._lengths.move_to_end(prompt)
        return min(wanted, self._lengths[prompt])

    def clear(self) -> None:
        """Removes all entries, as an engine restart does."""
        self._lengths.clear()

    def store(self, prompt: str, length: int) -> None:
        """Adds a prefix and evicts the least recently used entries."""
        self._lengths[prompt] = max(length, self._lengths.get(prompt, 0))
        self._lengths.move_to_end(prompt)
        while sum(self._lengths.values()) > self._capacity:
            self._lengths.popitem(last=False)


class Engine:
    """Serves chat completions.

    Args:
      name: Engine name included in responses.
      version: Version included in responses.
      cache_tokens: Capacity of the prefix cache, in tokens.
    """

    def __init__(
        self, name: str, version: str = "v1", cache_tokens: int = 100_000
    ) -> None:
        self._name = name
        self._version = version
        self._cache = PrefixCache(cache_tokens)
        self._running = 0
        self._requests: list[dict[str, Any]] = []
        self.orders = OrderHandler(version)
        # Prompt and number of computed tokens by request ID, for exports.
        self._computed: OrderedDict[str, tuple[str, int]] = OrderedDict()
        self.behaviour = Behaviour()
        self.counters = Counters()

    @property
    def requests(self) -> list[dict[str, Any]]:
        """Requests received so far, in order of arrival."""
        return self._requests

    def application(self) -> web.Application:
        """Returns the aiohttp application of the stand-in."""
        app = standin_web.make_application()
        app.add_routes(
            [
                web.post("/v1/chat/completions", self._complete),
                web.get("/v1/kv_cache/{request_id}", self._export_cache),
                web.post("/v1/kv_cache/import", self._import_cache),
                web.get("/metrics", self._get_metrics),
                web.get("/health", self._get_health),
                web.post("/standin/behaviour", self._set_behaviour),
                web.post("/standin/lose_cache", self._clear_cache),
                web.get("/standin/seen", self._get_seen),
            ]
        )
        app.add_routes(self.orders.routes())
        return app

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = await standin_web.read_json(request)
        self._requests.append(
            {
                "id": request.headers.get("X-Request-Id", ""),
                "priority": body.get("priority"),
                "timeout_ms": request.headers.get("X-Request-Timeout-Ms"),
                "messages": len(body["messages"]),
            }
        )
        if self.behaviour.leaving:
            return web.json_response(
                {"error": "shutting down"},
                status=503,
                headers={"Connection": "close"},
            )
        if self.behaviour.fail_status:
            return web.json_response(
                {"error": "failed"}, status=self.behaviour.fail_status
            )
        self._running += 1
        try:
            if self.behaviour.hang:
                await asyncio.Event().wait()
            return await self._generate(request, body)
        except InjectedDisconnectError:
            raise
        except (asyncio.CancelledError, ConnectionError):
            self.counters.cancelled += 1
            raise
        finally:
            self._running -= 1

    async def _generate(
        self, request: web.Request, body: dict[str, Any]
    ) -> web.StreamResponse:
        messages = body["messages"]
        continued_text = ""
        if body.get("continue_final_message"):
            continued_text = messages[-1]["content"]
            messages = messages[:-1]
        prompt = text.format_prompt(messages)
        first = text.count_tokens(continued_text)
        # A continued message must be a prefix of the deterministic completion.
        if continued_text != text.make_completion(messages, first):
            return web.json_response(
                {"error": "foreign prefix"},
                status=400,
            )
        total = first + body.get("max_tokens", DEFAULT_MAX_TOKENS)
        cached = await self._prefill(prompt, first)
        if not body.get("stream"):
            await asyncio.sleep((total - first) * self.behaviour.token_s)
            return self._complete_response(prompt, first, total, cached)
        return await self._stream(request, prompt, first, total, cached)

    async def _prefill(self, prompt: str, done: int) -> int:
        length = text.count_tokens(prompt)
        cached = self._cache.lookup(prompt, length + done)
        missing = length + done - cached
        self.counters.prefilled_tokens += missing
        self.counters.recomputed_tokens += min(done, missing)
        await asyncio.sleep(missing * self.behaviour.prefill_token_s)
        self._cache.store(prompt, length + done)
        return cached

    async def _export_cache(self, request: web.Request) -> web.Response:
        found = self._computed.get(request.match_info["request_id"])
        if found is None:
            return web.json_response({"error": "not found"}, status=404)
        await asyncio.sleep(self.behaviour.cache_move_s)
        return web.json_response({"prompt": found[0], "tokens": found[1]})

    async def _import_cache(self, request: web.Request) -> web.Response:
        body = await standin_web.read_json(request)
        url = f"{body['source']}/v1/kv_cache/{body['request_id']}"
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(url) as response,
            ):
                if response.status != 200:
                    return web.json_response({}, status=response.status)
                cache = await response.json()
        except aiohttp.ClientError:
            return web.json_response({"error": "no source"}, status=502)
        self._cache.store(cache["prompt"], cache["tokens"])
        self.counters.imported_tokens += cache["tokens"]
        return web.json_response({"tokens": cache["tokens"]})

    def _complete_response(
        self, prompt: str, first: int, total: int, cached: int
    ) -> web.Response:
        content = "".join(
            text.make_token(prompt, i) for i in range(first, total)
        )
        self.counters.generated_tokens += total - first
        return web.json_response(
            {
                "object": "chat.completion",
                "system_fingerprint": f"{self._name}/{self._version}",
                "choices": [
                    {
                        "index": 0,
                        "message": {"role": "assistant", "content": content},
                        "finish_reason": "length",
                    }
                ],
                "usage": self._usage(prompt, first, total - first, cached),
            }
        )

    def _usage(
        self, prompt: str, first: int, completed: int, cached: int
    ) -> dict[str, Any]:
        # Tokens of the continued message count as prompt tokens.
        prompt_tokens = text.count_tokens(prompt) + first
        return {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": completed,
            "total_tokens": prompt_tokens + completed,
            "prompt_tokens_details": {"cached_tokens": cached},
        }

    async def _stream(
        self,
        request: web.Request,
        prompt: str,
        first: int,
        total: int,
        cached: int,
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_type = "text/event-stream"
        await response.prepare(request)
        behaviour = self.behaviour
        request_id = request.headers.get("X-Request-Id", "")
        length = text.count_tokens(prompt)
        for index in range(first, total):
            disconnects = index - first == behaviour.fail_after_tokens
            if disconnects and behaviour.fail_streams > 0:
                behaviour.fail_streams -= 1
                request.transport.abort()
                raise InjectedDisconnectError
            await asyncio.sleep(behaviour.token_s)
            if index == behaviour.skip_token:
                behaviour.skip_token = -1
                continue
            if index == behaviour.error_event_at:
                behaviour.error_event_at = -1
                await response.write(b'data: {"error": {"code": 500}}\n\n')
                break
            finish = index + 1 == total and not behaviour.separate_finish
            content = text.make_token(prompt, index)
            usage = self._usage(prompt, first, index + 1 - first, cached)
            chunk = self._chunk(content, [index], finish, usage)
            await response.write(chunk)
            if behaviour.duplicate_chunks:
                await response.write(chunk)
            self.counters.generated_tokens += 1
            self._cache.store(prompt, length + index + 1)
            self._record_computed(request_id, prompt, length + index + 1)
        if behaviour.break_before_finish:
            behaviour.break_before_finish = False
            request.transport.abort()
            raise InjectedDisconnectError
        if behaviour.separate_finish:
            usage = self._usage(prompt, first, total - first, cached)
            await response.write(self._chunk("", [], True, usage))
        await response.write(b"data: [DONE]\n\n")
        return response

    def _record_computed(
        self, request_id: str, prompt: str, length: int
    ) -> None:
        self._computed[request_id] = (prompt, length)
        self._computed.move_to_end(request_id)
        if len(self._computed) > MAX_EXPORTABLE_REQUESTS:
            self._computed.popitem(last=False)

    def _chunk(
        self, content: str, ids: list[int], finish: bool, usage: dict[str, Any]
    ) -> bytes:
        chunk = {
            "object": "chat.completion.chunk",
            "system_fingerprint": f"{self._name}/{self._version}",
            "choices": [
                {
                    "index": 0,
                    "delta": {"content": content},
                    "token_ids": ids,
                    "finish_reason": "length" if finish else None,
                }
            ],
            "usage": usage,
        }
        return b"data: " + json.dumps(chunk).encode() + b"\n\n"

    async def _get_metrics(self, _: web.Request) -> web.Response:
        lines = [
            f"vllm:num_requests_running {self._running}",
            "vllm:num_requests_waiting 0",
        ]
        return web.Response(text="\n".join(lines) + "\n")

    async def _get_health(self, _: web.Request) -> web.Response:
        return web.Response(status=503 if self.behaviour.leaving else 200)

    async def _set_behaviour(self, request: web.Request) -> web.Response:
        data = await standin_web.read_json(request)
        standin_web.update_fields(self.behaviour, data)
        return web.json_response(attrs.asdict(self.behaviour))

    async def _clear_cache(self, _: web.Request) -> web.Response:
        self._cache.clear()
        return web.json_response({})

    async def _get_seen(self, _: web.Request) -> web.Response:
        return web.json_response(
            {"requests": self._requests, **attrs.asdict(self.counters)}
        )


def main(port: int, name: str, version: str = "v1") -> None:
    """Runs the stand-in engine.

    Args:
      port: TCP port on loopback.
      name: Engine name included in responses.
      version: Version included in responses.
    """
    standin_web.serve(Engine(name, str(version)).application(), port)


if __name__ == "__main__":
    fire.Fire(main)
