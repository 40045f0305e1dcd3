"""Sans-I/O codecs of the wire formats: bytes in, events and bytes out. Nothing here uses a socket or a clock."""
