"""Simulated model engine with continuous batching and a prefix cache."""

from standins.engine._batch_loop import compute_step_ms
from standins.engine._batch_loop import StepWork
from standins.engine._engine import create_engine
from standins.engine._engine import Engine
from standins.engine._settings import EngineSettings
from standins.engine._tokens import expected_tokens
from standins.engine._tokens import fingerprint_content
