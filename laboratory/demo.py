"""A first look: a router with the example configuration, between stand-in exchanges, and two calls answered.

    python -m laboratory.demo [--once] [--free-ports]
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import re
import sys
import tempfile
import time
from pathlib import Path

import click

from laboratory.stand_ins import ROOT, ApiCaller, BinaryNode, SipCaller, free_port, wait_until

EXAMPLES = ("example.toml", "example-plan.toml", "example-gateway.toml", "example-versions.toml")


class PatientNode(BinaryNode):
    """A node whose calls stand until they are released."""

    async def respond(self, call: str, number: str, description: bytes, writer: asyncio.StreamWriter) -> None:
        """Answer every call, and leave it standing."""
        await super().respond(call, f"long-{number}", description, writer)


def copy_examples(folder: Path, free_ports: bool) -> None:
    """Copy the example files, with other ports where the usual ones may be in use."""
    ports: dict[str, int] = {}
    for name in EXAMPLES:
        text = (ROOT / "deploy" / name).read_text("utf-8")
        if free_ports:
            text = re.sub(r"(?<=127\.0\.0\.1:)\d+", lambda m: str(ports.setdefault(m[0], free_port())), text)
        (folder / name).write_text(text, "utf-8")


def address(text: str, key: str) -> tuple[str, int]:
    """Find host and port of a key in a TOML text."""
    found = re.search(rf'^{key} = "([^"]+):(\d+)"', text, re.MULTILINE)
    assert found is not None
    return found[1], int(found[2])


async def play(folder: Path, once: bool) -> int:
    """Start all, place the calls, and wait for Ctrl-C."""
    router_text = (folder / "example.toml").read_text("utf-8")
    nodes = []
    for host, port in re.findall(r'^address = "([^"]+):(\d+)"', router_text, re.MULTILINE):
        node = PatientNode()
        node.server = await asyncio.start_server(node.serve, host, int(port))
        nodes.append(node)
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", "from astertrack.cli import main; main()", "run", "--config", folder / "example.toml",
        "--gateway", folder / "example-gateway.toml", "--versions", folder / "example-versions.toml",
        cwd=ROOT, env=os.environ | {"PYTHONPATH": str(ROOT)})
    sip_port = address(router_text, "listen")[1]
    api_port = address((folder / "example-gateway.toml").read_text("utf-8"), "listen")[1]
    try:
        await wait_until(lambda: process.returncode is not None or listens(api_port))
        if process.returncode is not None:
            return process.returncode
        await show_calls(sip_port, api_port)
        if not once:
            print(f"\nThe router serves: SIP on port {sip_port}, WebSocket on port {api_port}. Ctrl-C ends it.")
            await process.wait()
    finally:
        if process.returncode is None:
            process.terminate()
        code = await process.wait()
        for node in nodes:
            node.stop()
    return code


def listens(port: int) -> bool:
    """Whether somebody listens there."""
    import socket  # noqa: PLC0415

    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) == 0


async def show_calls(sip_port: int, api_port: int) -> None:
    """Place a call by SIP and one over WebSocket, to numbers that the plan routes, and show the answers."""
    sip, api = await SipCaller.connect(sip_port), await ApiCaller.connect(api_port)
    first, second = f"{time.time_ns():016x}"[-16:], f"{time.time_ns() + 1:016x}"[-16:]
    sip.invite(first, "5221234", -1)
    await wait_until(lambda: first in sip.final_responses)
    answer = sip.final_responses[first][0]
    print(f"\nSIP: INVITE to 5221234 -> {answer.status} {answer.body.decode()!r}")
    api.send(type="setup", id=second, number="5350012", deadline=int(time.time() * 1000) + 3000,
             **{"class": "declaration-save"})
    await wait_until(lambda: api.final_answers(second))
    print(f"WebSocket: setup to 5350012 -> {api.final_answers(second)[0]}")
    sip.send_request("BYE", first)
    api.send(type="release", id=second)
    await wait_until(lambda: api.messages_about(second, "released"))
    sip.close()
    api.close()


@click.command()
@click.option("--once", is_flag=True, help="End after the two calls.")
@click.option("--free-ports", is_flag=True, help="Use free ports in place of those of the examples.")
def main(once: bool, free_ports: bool) -> None:
    """Show a router with the example configuration, and two calls answered."""
    with tempfile.TemporaryDirectory() as name, contextlib.suppress(KeyboardInterrupt):
        copy_examples(Path(name), free_ports)
        raise SystemExit(asyncio.run(play(Path(name), once)))


if __name__ == "__main__":
    main()
