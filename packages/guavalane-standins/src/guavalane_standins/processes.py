"""Process management for the demo, process tests and benchmarks."""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from typing import Any, TypeVar

T = TypeVar("T")
START_TIMEOUT_S = 20.0
WAIT_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05
FIRST_PORT = 10_000
PORT_BLOCKS = 200
PORTS_PER_BLOCK = 100


_next_port = itertools.count()


def free_port() -> int:
    """Returns an unused TCP port on loopback.

    Ports are below the ephemeral range of outgoing connections, and each test
    process allocates from its own block, so that parallel runs do not collide.
    """
    block = FIRST_PORT + os.getpid() % PORT_BLOCKS * PORTS_PER_BLOCK
    for _ in range(PORTS_PER_BLOCK):
        port = block + next(_next_port) % PORTS_PER_BLOCK
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind(("127.0.0.1", port))
            return port
    raise OSError(f"no free port in {block} to {block + PORTS_PER_BLOCK - 1}")


def fetch(
    url: str,
    *,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 30.0,
) -> tuple[int, str]:
    """Sends an HTTP request and returns the response status and text.

    Args:
      url: URL to request.
      body: Data to send as JSON in a POST; None sends a GET.
      headers: Additional headers.
      timeout_s: Timeout, in seconds.
    """
    data = None if body is None else json.dumps(body).encode()
    headers = {"Content-Type": "application/json", **(headers or {})}
    request = urllib.request.Request(url, data=data, headers=headers)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


def wait_until_answers(url: str, limit_s: float = START_TIMEOUT_S) -> None:
    """Polls a URL until it returns status 200.

    Raises:
      TimeoutError: It did not return 200 within the time limit.
    """
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        with contextlib.suppress(OSError):
            if fetch(url, timeout_s=2.0)[0] == 200:
                return
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"{url} did not return 200 within {limit_s} s")


def wait_for(condition: Callable[[], T], limit_s: float = WAIT_TIMEOUT_S) -> T:
    """Polls a condition and returns its first true value.

    Raises:
      TimeoutError: The condition stayed false for the time limit.
    """
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"condition not met within {limit_s} s")


class ProcessGroup:
    """Child processes, killed at the end of a `with` block."""

    def __init__(self) -> None:
        self._processes: dict[str, subprocess.Popen] = {}
        self._folder = tempfile.TemporaryDirectory(prefix="guavalane-")

    @property
    def folder(self) -> pathlib.Path:
        """Temporary directory for settings and logs, removed on exit."""
        return pathlib.Path(self._folder.name)

    def __enter__(self) -> ProcessGroup:
        return self

    def __exit__(self, *_: object) -> None:
        self.stop_all()
        self._folder.cleanup()

    def start(self, name: str, command: list[str]) -> subprocess.Popen:
        """Starts a process and redirects its output to `NAME.log`."""
        with open(self.folder / f"{name}.log", "ab") as output:
            process = subprocess.Popen(
                command, stdout=output, stderr=subprocess.STDOUT
            )
        self._processes[name] = process
        return process

    def start_standin(
        self, module: str, process_name: str, /, **arguments: Any
    ) -> str:
        """Starts a stand-in module and returns its base URL."""
        port = free_port()
        options = [f"--{key}={value}" for key, value in arguments.items()]
        command = [sys.executable, "-m", f"guavalane_standins.{module}"]
        self.start(process_name, [*command, f"--port={port}", *options])
        return f"http://127.0.0.1:{port}"

    def process(self, name: str) -> subprocess.Popen:
        """Returns a process by name."""
        return self._processes[name]

    def log(self, name: str) -> str:
        """Returns the output that a process has written so far."""
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self._processes[name].send_signal(number)

    def stop_all(self) -> None:
        """Kills all processes and waits until they have exited."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait(STOP_TIMEOUT_S)
