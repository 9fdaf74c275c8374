"""The gateway daemon: proxies callers to upstreams and runs batch jobs on them.

Public API:
    create_gateway(settings, ...): Creates the daemon.
    OutsideServices: Stores, codecs and protocol adapter of the platform.
    ProcessSignals: Protocol for stop and reload signals.
    Wire, CallerRequest, JobCall, JobCallKind, AnswerKind: The protocol that a
        platform's adapter implements for callers and upstreams.
"""

from siskinmount.gateway._gateway import create_gateway
from siskinmount.gateway._gateway import Gateway
from siskinmount.gateway._outside_services import OutsideServices
from siskinmount.gateway._process_signals import ProcessSignals
from siskinmount.gateway._wire import AnswerKind
from siskinmount.gateway._wire import CallerRequest
from siskinmount.gateway._wire import JobCall
from siskinmount.gateway._wire import JobCallKind
from siskinmount.gateway._wire import Wire
