"""Some answers without a length are reset on their way to the node."""

from __future__ import annotations

import asyncio
import pathlib
import socket
import struct
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins_2.rig import Request, Rig, run_case

NODES = 2
SERVERS = 5
# Servers that break off answers, and every how many: the largest doses of
# `garble` in the site file are 0.6 of the servers and 0.05 of their answers.
FAULTY = 3
BREAK_PERIOD = 20
REQUESTS = 1200
REQUESTS_PER_S = 40
BODY_REPEATS = 50
# Sends a reset when the socket is closed.
RESET = struct.pack("ii", 1, 0)


def whole_body(request_id: str) -> bytes:
    """Returns the body of the answer to a request, 800 bytes."""
    return (request_id * BODY_REPEATS).encode()


async def play(folder: pathlib.Path, trouble: bool) -> bool:
    """Plays the case and returns whether the rule held."""
    broken_off: set[str] = set()
    async with Rig(folder, NODES) as rig:

        async def answer(
            request: Request, writer: asyncio.StreamWriter
        ) -> bool:
            server = rig.servers[request.server]
            server.ran(request)
            await asyncio.sleep(0.01)
            body = whole_body(request.request_id)
            lines = (
                "HTTP/1.1 200 OK",
                f"Request-Id: {request.request_id}",
                f"Response-Seal: seal-{request.request_id}",
                "Connection: close",
            )
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            is_faulty = int(request.server[2:]) < FAULTY
            is_due = len(server.runs) % BREAK_PERIOD == 0
            if trouble and is_faulty and is_due:
                writer.write(body[: len(body) // 2])
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                writer.transport.abort()
                broken_off.add(request.request_id)
                rig.record.write(
                    f"server {request.server}: resets its answer to"
                    f" {request.request_id} after half of the body"
                )
                return False
            writer.write(body)
            await writer.drain()
            return False

        for index in range(SERVERS):
            zone = f"zone-{'abcd'[index % 4]}"
            await rig.add_server(f"i-{index}", "app", answer, zone=zone)
        await asyncio.sleep(3)
        tasks = []
        for index in range(REQUESTS):
            node = rig.nodes[index % NODES]
            path = "/once/item" if index % 3 else "/look/item"
            call = rig.client.call(node.callers, path, deadline_ms=1500)
            tasks.append(asyncio.create_task(call))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        wrong = 0
        for request_id, got in await asyncio.gather(*tasks):
            if got is None or got.status != 200 or not got.complete:
                continue
            if got.body != whole_body(request_id):
                wrong += 1
                rig.record.write(
                    f"client: {request_id} got a complete 200 with"
                    f" {got.headers.get('response-seal')} and"
                    f" {len(got.body)} bytes of the body"
                )
        text = (
            f"{len(broken_off)} answers were reset, {wrong} of them reached"
            " the client as complete"
        )
        rig.record.write(text)
        print(text)
        return wrong == 0


if __name__ == "__main__":
    run_case(play, __file__)
