"""The settings and arms of the experiment."""

import enum
import pathlib

from siskinmount import configuration
from standins import engine
from tools import load

_EXAMPLES_DIR = pathlib.Path(__file__).resolve().parents[2] / 'examples'


class Arm(enum.Enum):
    """One way of sharing the engines between online and batch work."""

    #: Online requests only.
    ONLINE_ALONE = 'online_alone'

    #: Batch items only, which measures the engines' full capacity.
    BATCH_ALONE = 'batch_alone'

    #: Both, with the policy under which online requests have priority.
    ONLINE_FIRST = 'online_first'

    #: Both, first in, first out within the engines.
    PASS_THROUGH = 'pass_through'

    #: Both, each with a fixed share of the slots.
    STATIC_SPLIT = 'static_split'

    @property
    def has_online(self) -> bool:
        """Whether online requests are sent."""
        return self is not Arm.BATCH_ALONE

    @property
    def has_batch(self) -> bool:
        """Whether batch items are run."""
        return self is not Arm.ONLINE_ALONE

    @property
    def gate_policy(self) -> str:
        """The sidecars' gate policy."""
        if self in (Arm.ONLINE_ALONE, Arm.BATCH_ALONE):
            return Arm.ONLINE_FIRST.value
        return self.value

    @property
    def bypasses_sidecars(self) -> bool:
        """Whether batch items are sent directly to engines, not to sidecars."""
        return self in (Arm.BATCH_ALONE, Arm.PASS_THROUGH)


class BenchSetting:
    """A fleet and its load.

    Attributes:
        name: Name of the setting.
        service: Name of the model service.
        plain_service: Name of the plain service of the same document.
        engine_count: Number of engines, each with a sidecar.
        online_split_slots: Slots for online requests under the static split.
        engine_settings: Timing and sizes of the simulated engines.
        online_pattern: When online requests arrive.
        online_shape: Sizes of online requests.
        batch_shape: Sizes of batch items.
    """

    __slots__ = (
        'name',
        'service',
        'plain_service',
        'engine_count',
        'online_split_slots',
        'engine_settings',
        'online_pattern',
        'online_shape',
        'batch_shape',
    )

    def __init__(
        self,
        *,
        name: str,
        service: str,
        plain_service: str,
        engine_count: int,
        online_split_slots: int,
        engine_settings: engine.EngineSettings,
        online_pattern: load.ArrivalPattern,
        online_shape: load.WorkloadShape,
        batch_shape: load.WorkloadShape,
    ) -> None:
        self.name = name
        self.service = service
        self.plain_service = plain_service
        self.engine_count = engine_count
        self.online_split_slots = online_split_slots
        self.engine_settings = engine_settings
        self.online_pattern = online_pattern
        self.online_shape = online_shape
        self.batch_shape = batch_shape

    def read_document_text(self) -> str:
        """Returns the text of the example configuration of the same name."""
        return (_EXAMPLES_DIR / f'{self.name}.ini').read_text('utf-8')

    def read_service(self) -> configuration.Service:
        """Returns the model service as the example configures it.

        Raises:
            AssertionError: The example is not a valid configuration.
        """
        document = configuration.parse_document(self.read_document_text())
        if isinstance(document, list):
            raise AssertionError(
                f'the example {self.name} is not a valid configuration'
            )
        return document.services[self.service]


def create_roadhaven() -> BenchSetting:
    """Creates an online-heavy setting.

    Callouts arrive online in bursts; job sheets are batch items.
    """
    return BenchSetting(
        name='roadhaven',
        service='dispatch-lm',
        plain_service='fleet-track',
        engine_count=3,
        online_split_slots=10,
        engine_settings=engine.EngineSettings(max_running=16),
        online_pattern=load.ArrivalPattern(
            rate_per_s=8.0, burst_factor=3.0, burst_s=1.0, quiet_s=4.0
        ),
        online_shape=load.WorkloadShape(
            prefix_tokens=192, prompt_tokens=64, long_share=0.02
        ),
        batch_shape=load.WorkloadShape(
            prefix_tokens=64,
            prompt_tokens=192,
            long_share=0.05,
            long_factor=4,
            min_answer_tokens=32,
            max_answer_tokens=128,
            session_share=0.0,
        ),
    )


def create_swapnest() -> BenchSetting:
    """Creates a batch-heavy setting.

    Matches are batch items; a few questions of hosts arrive online.
    """
    return BenchSetting(
        name='swapnest',
        service='wordsmith',
        plain_service='swapdesk',
        engine_count=3,
        online_split_slots=4,
        engine_settings=engine.EngineSettings(max_running=16),
        online_pattern=load.ArrivalPattern(
            rate_per_s=2.0, burst_factor=4.0, burst_s=1.0, quiet_s=6.0
        ),
        online_shape=load.WorkloadShape(prefix_tokens=128, prompt_tokens=64),
        batch_shape=load.WorkloadShape(
            prefix_tokens=128,
            prompt_tokens=96,
            long_share=0.1,
            long_factor=5,
            min_answer_tokens=32,
            max_answer_tokens=160,
            session_share=0.0,
        ),
    )


SETTINGS = {'roadhaven': create_roadhaven, 'swapnest': create_swapnest}
