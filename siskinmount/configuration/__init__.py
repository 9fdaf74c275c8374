"""The service document and the daemons' settings."""

from siskinmount.configuration._service_document import CallerPolicy
from siskinmount.configuration._service_document import Objective
from siskinmount.configuration._service_document import ObjectiveMeasure
from siskinmount.configuration._service_document import RequestClass
from siskinmount.configuration._service_document import Route
from siskinmount.configuration._service_document import Service
from siskinmount.configuration._service_document import ServiceDocument
from siskinmount.configuration._service_document import ServiceKind
