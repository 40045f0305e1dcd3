"""Wire formats as state machines: bytes in, events and bytes out. Nothing here knows a socket or a clock."""
