"""Simulated engine that streams opaque events and resumes by event id."""

from standins.event_engine._event_engine import AnswerFault
from standins.event_engine._event_engine import create_event_engine
from standins.event_engine._event_engine import EngineRun
from standins.event_engine._event_engine import EventEngine
from standins.event_engine._event_engine import make_event
