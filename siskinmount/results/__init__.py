"""Numbered result codes and the failure value that contains them."""

from siskinmount.results._decoding_errors import DECODING_ERRORS
from siskinmount.results._failure import Failure
from siskinmount.results._result_code import ResultCode
from siskinmount.results._run_state import RunState
