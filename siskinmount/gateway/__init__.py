"""The gateway: serves callers and batch jobs by upstreams it speaks to itself.

Public API:
    create_gateway(settings, ...): The daemon.
    OutsideServices: What it needs of the platform that it runs on.
    ProcessSignals: Protocol of how it is told to stop.
    Wire, CallerRequest, JobCall, JobCallKind, AnswerKind: Its callers' and
        upstreams' forms, which an adapter implements.
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
