"""TCP relay that can drop traffic by direction and by source address."""

from __future__ import annotations

import asyncio
import contextlib

import attrs
import fire
from aiohttp import web

from guavalane_standins import web as standin_web

READ_BYTES = 64 * 1024


@attrs.define
class Partition:
    """Traffic that the relay drops.

    Attributes:
      to_target: Whether bytes sent to the target are dropped.
      from_target: Whether bytes sent by the target are dropped.
      sources: Client IP addresses whose connections are affected; empty for
          all.
    """

    to_target: bool = False
    from_target: bool = False
    sources: list[str] = attrs.field(factory=list)

    def drops(self, direction: str, source: str) -> bool:
        """Returns whether bytes from or to a source are dropped."""
        affected = not self.sources or source in self.sources
        return affected and getattr(self, direction)


class Relay:
    """Forwards TCP connections to one target.

    Args:
      target: Address, `IP:PORT`.
    """

    def __init__(self, target: str) -> None:
        self._host, self._port = target.rsplit(":", 1)
        self.partition = Partition()

    def application(self) -> web.Application:
        """Returns the application that controls the partition."""
        app = standin_web.make_application()
        app.add_routes(
            [
                web.get("/standin/cut", self._get_partition),
                web.post("/standin/cut", self._set_partition),
            ]
        )
        return app

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards one connection until either side closes it."""
        try:
            target = await asyncio.open_connection(self._host, self._port)
        except OSError:
            writer.transport.abort()
            return
        source = writer.get_extra_info("peername")[0]
        copies = [
            asyncio.create_task(
                self._copy(reader, target[1], "to_target", source)
            ),
            asyncio.create_task(
                self._copy(target[0], writer, "from_target", source)
            ),
        ]
        await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        for copy in copies:
            copy.cancel()
        writer.transport.abort()
        target[1].transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
        source: str,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(READ_BYTES):
                if not self.partition.drops(direction, source):
                    writer.write(data)
                    await writer.drain()

    async def _get_partition(self, _: web.Request) -> web.Response:
        return web.json_response(attrs.asdict(self.partition))

    async def _set_partition(self, request: web.Request) -> web.Response:
        data = await standin_web.read_json(request)
        standin_web.update_fields(self.partition, data)
        return web.json_response(attrs.asdict(self.partition))


async def run(port: int, listen: int, target: str) -> None:
    """Forwards connections until it is cancelled."""
    relay = Relay(target)
    await standin_web.start(relay.application(), port)
    server = await asyncio.start_server(
        relay.serve, standin_web.LOOPBACK, listen
    )
    await server.serve_forever()


def main(port: int, listen: int, target: str) -> None:
    """Runs the relay.

    Args:
      port: TCP port of the control API on loopback.
      listen: TCP port on loopback that accepts connections.
      target: Address, `IP:PORT`, that connections are forwarded to.
    """
    asyncio.run(run(port, listen, target))


if __name__ == "__main__":
    fire.Fire(main)
