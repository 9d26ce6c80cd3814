"""Heads of HTTP messages that are sent byte for byte."""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import re
from collections.abc import Iterator
from typing import Any

import aiohttp
from aiohttp import hdrs
from aiohttp.http import StreamWriter
from aiohttp.web_request import BaseRequest

from guavalane_core.header_text import encode_header

# Characters of a target that HTTP libraries accept. A space would end it.
_TARGET = re.compile(r"[!-~]+")
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


# Target of the request that the current task makes; None for that of its URL.
_exact_target: contextvars.ContextVar[str | None] = contextvars.ContextVar(
    "exact_target", default=None
)


@contextlib.contextmanager
def exact_target(target: str) -> Iterator[None]:
    """Makes a `HeadRequest` that is sent in this context use a target.

    A URL does not keep each target: it has no empty query, for instance.

    Args:
      target: Path and query.
    """
    token = _exact_target.set(target)
    try:
        yield
    finally:
        _exact_target.reset(token)


class HeadWriter(StreamWriter):
    """Writer of messages whose header values may be any bytes.

    aiohttp encodes headers as UTF-8 and leaves out lone surrogates, which stand
    for all bytes that are not valid UTF-8.
    """

    async def write_headers(self, status_line: str, headers: Any) -> None:
        """Writes the start line and the headers of a message.

        Raises:
          ValueError: They contain a control character.
        """
        if "".join([*headers.keys(), *headers.values()]).isascii():
            await super().write_headers(status_line, headers)
            return
        lines = [status_line]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if any(map(_CONTROL_CHARACTER.search, lines)):
            raise ValueError("a header contains a control character")
        self._headers_written = False
        self._headers_buf = encode_header("\r\n".join([*lines, "", ""]))


def make_received_request(
    message: Any, payload: Any, protocol: Any, writer: Any, task: Any
) -> BaseRequest:
    """Returns a received request whose response is sent by a `HeadWriter`.

    It is a request factory of `aiohttp.web_server.Server`, which describes the
    arguments.
    """
    del writer  # One of aiohttp, which nothing was written to.
    loop = asyncio.get_running_loop()
    head_writer = HeadWriter(protocol, loop)
    return BaseRequest(message, payload, protocol, head_writer, task, loop)


class HeadRequest(aiohttp.ClientRequest):
    """Request that is sent by a `HeadWriter`, with any target.

    It supports neither proxies nor compression.
    """

    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        """Sends the request on a connection.

        The base class creates its writer itself.

        Raises:
          ValueError: The target or a header contains an illegal character.
        """
        target = _exact_target.get() or self.url.raw_path_qs
        if not _TARGET.fullmatch(target):
            raise ValueError(f"{target!r} is no target of a request")
        protocol = conn.protocol
        writer = HeadWriter(protocol, self.loop)
        if self.chunked is not None:
            writer.enable_chunking()
        if conn._connector.force_close and hdrs.CONNECTION not in self.headers:
            self.headers[hdrs.CONNECTION] = "close"
        await writer.write_headers(
            f"{self.method} {target} HTTP/1.1", self.headers
        )
        task = None
        if self._body or self._continue is not None or protocol.writing_paused:
            task = asyncio.create_task(
                self.write_bytes(writer, conn, self._get_content_length())
            )
            self._writer = task
        else:
            protocol.start_timeout()
            writer.set_eof()
        self.response = self.response_class(
            self.method,
            self.original_url,
            writer=task,
            continue100=self._continue,
            timer=self._timer,
            request_info=self.request_info,
            traces=self._traces,
            loop=self.loop,
            session=self._session,
            stream_writer=writer,
        )
        return self.response
