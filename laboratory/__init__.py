"""Stand-in peers and callers, a load generator and a demonstration, all on loopback.

This package imports the program; the program never imports it.
"""
