"""Persistent storage of call records and plan versions, outside the call path. Disabled unless configured."""

from astertrack.store.records import NullStore, SqlStore, Store, make_store

__all__ = ["NullStore", "SqlStore", "Store", "make_store"]
