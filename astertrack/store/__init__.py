"""The store of record: what became of each call. Off the call path, and off unless it is asked for."""

from astertrack.store.records import NullStore, SqlStore, Store, make_store

__all__ = ["NullStore", "SqlStore", "Store", "make_store"]
