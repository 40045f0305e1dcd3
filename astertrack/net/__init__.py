"""Thin Twisted drivers round the state machines of astertrack.wire, and the ports of the core."""
