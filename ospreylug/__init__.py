"""The decisions of a signalling controller: which calls are set up, and over which route."""

from ospreylug.logic import Controller

__all__ = ["Controller"]
