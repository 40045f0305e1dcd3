"""A call router between two sites: SIP and WebSocket callers in front, exchanges behind, one core."""
