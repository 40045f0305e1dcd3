"""A call router between two sites: it accepts calls over SIP and WebSocket and places them at exchanges."""
