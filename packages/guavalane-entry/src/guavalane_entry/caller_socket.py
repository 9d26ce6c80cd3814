"""Listening sockets for callers."""

from __future__ import annotations

import socket

# Receive buffer of a caller's connection in the kernel, in bytes. By default it
# grows to several MB, and the event loop reads up to 256 KiB of each connection
# in one turn, before any handler can refuse a body; with 300 connections, that
# was half of a small VM's memory.
RECEIVE_BUFFER_BYTES = 16_384


def bind_caller_socket(host: str, port: int) -> socket.socket:
    """Returns a socket for callers; its connections inherit its options."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.setblocking(False)
        sock.bind((host, port))
    except OSError:
        sock.close()
        raise
    return sock
