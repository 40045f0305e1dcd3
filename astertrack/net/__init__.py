"""Thin Twisted drivers around the state machines of astertrack.wire; they implement the ports of the core."""
