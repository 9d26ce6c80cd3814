"""Tests of the command `where` against node processes."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys

from guavalane_platform_standins.deployment import (
    API_KEY,
    HOST,
    TENANT,
    Deployment,
)

UNREACHABLE_EXIT_CODE = 5


async def where(url, *arguments):
    """Returns exit code, output and errors of the command."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "guavalane_cli.main", "where"),
        *(f"--url=http://{url}", *arguments),
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    output, errors = await process.communicate()
    return process.returncode, output.decode(), errors.decode()


class TestWhere:
    """Guards against wrong or costly explanations of a running node."""

    async def test_a_node_explains_without_sending(self):
        async with Deployment(1) as deployment:
            await deployment.add_endpoint("i-app", "app")
            await deployment.add_endpoint("i-llm", "llm")
            await asyncio.sleep(0.2)
            (node,) = deployment.nodes
            asked = (node.metrics, f"http://{HOST}/talk/x")
            options = (
                f"--organisation={TENANT}",
                "--tokens=1200,60",
                "--parts=a:600,b:600",
            )
            code, output, errors = await where(*asked, *options, "--json")
            assert (code, errors) == (0, "")
            found = json.loads(output)
            assert found["route"]["name"] == "talk"
            assert found["organisation"]["name"] == TENANT
            assert found["outcome"] == {"sent_to": "i-llm"}
            (candidate,) = found["candidates"]
            assert candidate["cost"]["prefill"] > 0
            code, output, _ = await where(*asked, *options)
            assert code == 0
            assert "sent_to i-llm" in output
            code, output, _ = await where(node.metrics, f"{HOST}/none/x")
            assert code == 0
            assert "unknown_route" in output
            code, _, errors = await where(*asked, "--tokens=7")
            assert code == 2
            assert "invalid_request" in errors
            log = node.read_log()
            assert "attempt.sent" not in log
            assert "request.refused" not in log
            assert API_KEY not in output + log

    async def test_a_node_that_does_not_respond(self):
        code, _, errors = await where("127.0.0.1:9", f"{HOST}/look/x")
        assert code == UNREACHABLE_EXIT_CODE
        assert "unreachable" in errors
