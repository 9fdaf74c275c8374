"""Compares ways of sharing engines between online and batch requests."""

from tools.bench._arm_run import ArmResult
from tools.bench._arm_run import run_arm
from tools.bench._batch_feeder import BatchFeeder
from tools.bench._batch_progress import BatchProgress
from tools.bench._batch_source import BatchSource
from tools.bench._deployment import Deployment
from tools.bench._deployment import open_deployment
from tools.bench._engine_feeder import EngineFeeder
from tools.bench._experiment import Experiment
from tools.bench._experiment import run_experiment
from tools.bench._job_source import JobError
from tools.bench._job_source import JobSource
from tools.bench._plan import BatchSourceKind
from tools.bench._plan import BenchPlan
from tools.bench._plan import FaultKind
from tools.bench._results_file import compare_with_earlier
from tools.bench._results_file import write_results
from tools.bench._settings import Arm
from tools.bench._settings import BenchSetting
from tools.bench._settings import SETTINGS
from tools.bench._summary import ArmSummary
from tools.bench._summary import format_summaries
from tools.bench._summary import Spread
from tools.bench._summary import summarize
