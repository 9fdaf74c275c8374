"""Stand-in for a platform's store: a log with keys and conditional appends."""

from standins.keyed_store._keyed_store import create_keyed_store
from standins.keyed_store._keyed_store import KeyedStore
