"""A stand-in for the bulletin: serves events of the roster over server-sent events on loopback."""

from __future__ import annotations

import asyncio
import json
from typing import Any


class BulletinServer:
    """A stand-in for the bulletin; tests can close its connections."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.last_event_ids: list[str] = []  # of the requests received
        self.writers: list[asyncio.StreamWriter] = []
        self.address = ""

    async def start(self) -> BulletinServer:
        """Listen on a free port."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to one request with the events after the one that it names."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        last = next(line.split(": ")[1] for line in head.split("\r\n") if line.startswith("Last-Event-ID"))
        self.last_event_ids.append(last)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n")
        for event in self.events:
            if event["no"] > int(last):
                self.write(writer, event)
        self.writers.append(writer)

    @staticmethod
    def write(writer: asyncio.StreamWriter, event: dict[str, Any]) -> None:
        """Write one event."""
        writer.write(f"id: {event['no']}\ndata: {json.dumps(event)}\n\n".encode())

    def publish(self, *endpoints: dict[str, Any], snapshot: bool = False) -> None:
        """Send an event on all connections."""
        no = 2 + len(self.events)  # event 1 is in the configuration with which the program starts
        self.events.append({"no": no, "roster": {
            "index": no, "snapshot": snapshot, "endpoints": list(endpoints)}})
        for writer in self.writers:
            self.write(writer, self.events[-1])

    def close_connections(self) -> None:
        """Close all connections."""
        for writer in self.writers:
            writer.close()
        self.writers.clear()


def make_endpoint(name: str, number: int, address: str, status: str = "in_service",
                  since_ms: int = 0) -> dict[str, Any]:
    """Return an entry of an event's list of peers; since_ms is the Unix time of a late start."""
    return {"name": name, "address": address, "zone": "fes", "type": "small-node", "group": number,
            "status": status, "weight": 1, "since_ms": since_ms}
