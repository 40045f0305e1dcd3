"""Demonstration: a router with the example configuration between stand-in exchanges, and two answered calls.

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


class LongCallNode(BinaryNode):
    """A node that answers every call and never releases one itself."""

    async def respond(self, call: str, number: str, description: bytes, writer: asyncio.StreamWriter) -> None:
        """Answer the call, and leave it established."""
        await super().respond(call, f"long-{number}", description, writer)


def copy_examples(folder: Path, free_ports: bool) -> None:
    """Copy the example files, with free ports in place of theirs on request, as those may be in use."""
    ports: dict[str, int] = {}
    for name in EXAMPLES:
        text = (ROOT / "deploy" / name).read_text("utf-8")
        if free_ports:
            text = re.sub(r"(?<=127\.0\.0\.1:)\d+", lambda m: str(ports.setdefault(m[0], free_port())), text)
        (folder / name).write_text(text, "utf-8")


def find_address(text: str, key: str) -> tuple[str, int]:
    """Return the host and port that a key has in a TOML text."""
    match = re.search(rf'^{key} = "([^"]+):(\d+)"', text, re.MULTILINE)
    assert match is not None
    return match[1], int(match[2])


async def run_demo(folder: Path, once: bool) -> int:
    """Start the stand-ins and the router, place the calls, wait for Ctrl-C unless once, and return the exit code."""
    router_text = (folder / "example.toml").read_text("utf-8")
    nodes = []
    for host, port in re.findall(r'^address = "([^"]+):(\d+)"', router_text, re.MULTILINE):
        node = LongCallNode()
        node.server = await asyncio.start_server(node.serve, host, int(port))
        nodes.append(node)
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", "from astertrack.cli import main; main()", "run", "--config", folder / "example.toml",
        "--gateway", folder / "example-gateway.toml", "--versions", folder / "example-versions.toml",
        cwd=ROOT, env=os.environ | {"PYTHONPATH": str(ROOT)})
    sip_port = find_address(router_text, "listen")[1]
    api_port = find_address((folder / "example-gateway.toml").read_text("utf-8"), "listen")[1]
    try:
        await wait_until(lambda: process.returncode is not None or is_listening(api_port))
        if process.returncode is not None:
            return process.returncode
        await show_calls(sip_port, api_port)
        if not once:
            print(f"\nThe router serves SIP on port {sip_port} and WebSocket on port {api_port}. "
                  "Press Ctrl-C to stop it.")
            await process.wait()
    finally:
        if process.returncode is None:
            process.terminate()
        exit_code = await process.wait()
        for node in nodes:
            node.stop()
    return exit_code


def is_listening(port: int) -> bool:
    """Return whether a TCP port of loopback accepts connections."""
    import socket  # noqa: PLC0415

    with socket.socket() as test_socket:
        return test_socket.connect_ex(("127.0.0.1", port)) == 0


async def show_calls(sip_port: int, api_port: int) -> None:
    """Place a call by SIP and one over WebSocket, to numbers that the plan routes, and print the answers."""
    sip, api = await SipCaller.connect(sip_port), await ApiCaller.connect(api_port)
    sip_call, api_call = f"{time.time_ns():016x}"[-16:], f"{time.time_ns() + 1:016x}"[-16:]
    sip.invite(sip_call, "5221234", -1)
    await wait_until(lambda: sip_call in sip.final_responses)
    answer = sip.final_responses[sip_call][0]
    print(f"\nSIP: INVITE to 5221234 -> {answer.status} {answer.body.decode()!r}")
    api.send(type="setup", id=api_call, number="5350012", deadline=int(time.time() * 1000) + 3000,
             **{"class": "declaration-save"})
    await wait_until(lambda: api.final_answers(api_call))
    print(f"WebSocket: setup to 5350012 -> {api.final_answers(api_call)[0]}")
    sip.send_request("BYE", sip_call)
    api.send(type="release", id=api_call)
    await wait_until(lambda: api.messages_about(api_call, "released"))
    sip.close()
    api.close()


@click.command()
@click.option("--once", is_flag=True, help="Stop after the two calls.")
@click.option("--free-ports", is_flag=True, help="Use free ports in place of those of the examples.")
def main(once: bool, free_ports: bool) -> None:
    """Run a router with the example configuration, and show two answered calls."""
    with tempfile.TemporaryDirectory() as folder, contextlib.suppress(KeyboardInterrupt):
        copy_examples(Path(folder), free_ports)
        raise SystemExit(asyncio.run(run_demo(Path(folder), once)))


if __name__ == "__main__":
    main()
