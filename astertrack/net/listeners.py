"""Closes a listening socket without losing a connection that the system has established and nobody has accepted.

The close of a listening socket resets the connections that wait on it, and a client may have written a set-up already.
So no handshake is begun any more, what is established is accepted, and only then the socket is closed.
"""

from __future__ import annotations

import ctypes
import socket
import struct
from typing import Any

import structlog

log = structlog.get_logger()
SO_ATTACH_FILTER = 26  # linux/asm-generic/socket.h; the socket module does not have it
MAX_QUEUED_CONNECTIONS = 4_096  # more than any backlog
# A classic packet filter (linux/filter.h), as (code, jump if true, jump if false, operand). It sees the TCP header:
# byte 13 holds the flags, and a packet with SYN and without ACK begins a handshake. Such packets are dropped.
FILTER_PROGRAM = (
    (0x30, 0, 0, 13),  # load the byte at 13
    (0x54, 0, 0, 0x12),  # keep the flags SYN and ACK
    (0x15, 0, 1, 0x02),  # only SYN?
    (0x06, 0, 0, 0),  # drop
    (0x06, 0, 0, 0xFFFFFFFF),  # pass
)


def stop_handshakes(port: Any) -> None:
    """Let no connection to a listening port be begun any more. Where the system cannot do that, nothing changes."""
    program = ctypes.create_string_buffer(b"".join(struct.pack("HBBI", *line) for line in FILTER_PROGRAM))
    try:
        port.socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER,
                               struct.pack("HL", len(FILTER_PROGRAM), ctypes.addressof(program)))
    except (OSError, AttributeError) as error:
        log.info("handshakes cannot be stopped", error=str(error))


def accept_and_close(port: Any) -> None:
    """Accept the connections that are established, and close the listening port."""
    port.numberAccepts = MAX_QUEUED_CONNECTIONS  # which Twisted's port accepts in one turn, if there are so many
    port.doRead()
    port.stopListening()
