"""Command line of `guavalane-entry`."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

# io_uring is not permitted on the VMs. libuv reads the variable when an event
# loop is created.
os.environ["UV_USE_IO_URING"] = "0"

import fire

from guavalane_core.exceptions import ConfigurationError
from guavalane_core.settings import load_settings
from guavalane_entry import logs
from guavalane_entry.event_loop import EventLoop
from guavalane_entry.node import EntryNode

EXIT_BAD_SETTINGS = 2
# Number of new objects between collections of the youngest generation. Stream
# events are long-lived and not part of reference cycles; the default of 700
# makes the collector scan them continuously.
GC_THRESHOLD = 20_000


async def _run(node_settings: object) -> None:
    node = EntryNode(node_settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.request_stop)
    await node.run()


def serve(settings: str) -> None:
    """Runs an entry node until SIGTERM, SIGINT or a reclaim notice.

    Args:
      settings: Path of the settings file.
    """
    try:
        loaded = load_settings(settings)
    except ConfigurationError as error:
        for message in error.errors:
            print(f"{settings}: {message}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    logs.configure(loaded.log)
    gc.set_threshold(GC_THRESHOLD)
    with asyncio.Runner(loop_factory=EventLoop) as runner:
        runner.run(_run(loaded))


def main() -> None:
    """Runs the command line."""
    fire.Fire(serve)


if __name__ == "__main__":
    main()
