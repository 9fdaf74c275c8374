"""Stand-in for the platform's rate-limited weight store."""

from standins.weight_store._weight_store import create_weight_store
from standins.weight_store._weight_store import WeightStore
