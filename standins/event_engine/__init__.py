"""Stand-in of an engine that streams opaque events and resumes by their id."""

from standins.event_engine._event_engine import AnswerFault
from standins.event_engine._event_engine import create_event_engine
from standins.event_engine._event_engine import EngineRun
from standins.event_engine._event_engine import EventEngine
from standins.event_engine._event_engine import make_event
