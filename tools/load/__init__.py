"""Open-loop load generator that verifies every answer."""

from tools.load._arrivals import ArrivalPattern
from tools.load._arrivals import choose_arrivals
from tools.load._generator import create_load_generator
from tools.load._generator import LoadGenerator
from tools.load._load_report import LatencyHistogram
from tools.load._load_report import LoadReport
from tools.load._load_report import Outcome
from tools.load._load_report import PERCENTILES
from tools.load._load_report import read_report
from tools.load._wires import AnswerReader
from tools.load._wires import create_wire
from tools.load._wires import read_error
from tools.load._wires import Wire
from tools.load._wires import WireKind
from tools.load._workload import create_requests
from tools.load._workload import create_workload
from tools.load._workload import LoadRequest
from tools.load._workload import Workload
from tools.load._workload import WorkloadShape
