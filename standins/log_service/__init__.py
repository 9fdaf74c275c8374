"""Stand-in for the platform's append-only log service."""

from standins.log_service._log_service import create_log_service
from standins.log_service._log_service import LogService
