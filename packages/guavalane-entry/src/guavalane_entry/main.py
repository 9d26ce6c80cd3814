"""Binary `guavalane-entry`."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

# The VMs allow no io_uring; libuv reads the variable when a loop is made.
os.environ["UV_USE_IO_URING"] = "0"

import fire
import uvloop

from guavalane_core.exceptions import ConfigurationError
from guavalane_core.settings import load_settings
from guavalane_entry import logs
from guavalane_entry.node import EntryNode

EXIT_BAD_SETTINGS = 2
# New objects between collections. The events of streams live long and are in
# no cycles; with the default of 700, the collector scans them all the time.
YOUNG_OBJECTS = 20_000


async def _run(node_settings: object) -> None:
    node = EntryNode(node_settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.request_stop)
    await node.run()


def serve(settings: str) -> None:
    """Runs one entry node until SIGTERM or a reclaim notice.

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
    gc.set_threshold(YOUNG_OBJECTS)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run(loaded))


def main() -> None:
    """Runs the command line."""
    fire.Fire(serve)


if __name__ == "__main__":
    main()
