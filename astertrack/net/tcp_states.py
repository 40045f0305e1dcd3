"""Whether the other end of a connection has closed it, found out without reading what it sent before.

A close is only read behind all bytes that were sent before it. Linux tells the state of a connection at any time
(TCP_INFO, tcp(7)). Where no connection has ever been reported as established, the report is not used: the system
does not support it, or emulates sockets.
"""

from __future__ import annotations

import socket
from enum import IntEnum
from typing import Any


class TcpState(IntEnum):
    """States of a connection, as in linux/tcp.h (include/net/tcp_states.h)."""

    UNKNOWN = 0
    ESTABLISHED = 1
    CLOSE = 7  # reset
    CLOSE_WAIT = 8  # the other end has closed its side


class _Support:
    """Whether the system reports the states of connections."""

    is_known = False


def read_state(transport: Any) -> int:
    """Return the state of a transport's connection; UNKNOWN if there is none or the system does not tell."""
    connection = getattr(transport, "socket", None)
    if connection is None or not hasattr(socket, "TCP_INFO"):
        return TcpState.UNKNOWN
    try:
        return int(connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0])
    except (OSError, IndexError):
        return TcpState.UNKNOWN


def note_connected(transport: Any) -> None:
    """Find out from a new connection whether the system reports states."""
    if not _Support.is_known:
        _Support.is_known = read_state(transport) == TcpState.ESTABLISHED


def is_closed(transport: Any) -> bool:
    """Return whether the other end has closed or reset the connection."""
    return _Support.is_known and read_state(transport) in (TcpState.CLOSE, TcpState.CLOSE_WAIT)
