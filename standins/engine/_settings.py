"""Settings of the simulated engine."""


class EngineSettings:
    """Timing, capacity and fault parameters of one engine.

    All times apply to a time scale of 1.

    Attributes:
        time_scale: Factor on all times below.
        step_base_ms: Time of a step without any request.
        step_per_request_ms: Added for each request that decodes in a step.
        prefill_per_token_ms: Added for each prompt token computed in a step.
        prefill_chunk_tokens: Maximum number of prompt tokens in one step.
        max_running: Maximum number of requests in the batch; further ones
            are queued.
        cache_blocks: Capacity of the prefix cache in blocks.
        cache_event_lag_ms: Delay of cache events.
        cache_event_loss: Share of lost cache events, from 0 to 1.
        load_lag_ms: Age of a load report.
        load_model_ms: Time to load a model, in addition to reading weights.
        load_adapter_ms: Time to load an adapter.
        change_role_ms: Time to change the role.
        kv_bytes_per_token: Size of one token in the KV cache.
        kv_bytes_per_ms: Rate of KV export and import.
        kv_base_ms: Fixed time of KV export and import.
        orders_fenced: Whether orders with a stale fencing token are refused.
        crash_marker: Text in a prompt that makes the process exit.
        seed: Seed for the choice of lost cache events.
    """

    __slots__ = (
        'time_scale',
        'step_base_ms',
        'step_per_request_ms',
        'prefill_per_token_ms',
        'prefill_chunk_tokens',
        'max_running',
        'cache_blocks',
        'cache_event_lag_ms',
        'cache_event_loss',
        'load_lag_ms',
        'load_model_ms',
        'load_adapter_ms',
        'change_role_ms',
        'kv_bytes_per_token',
        'kv_bytes_per_ms',
        'kv_base_ms',
        'orders_fenced',
        'crash_marker',
        'seed',
    )

    def __init__(
        self,
        *,
        time_scale: float = 1.0,
        step_base_ms: float = 12.0,
        step_per_request_ms: float = 0.8,
        prefill_per_token_ms: float = 0.12,
        prefill_chunk_tokens: int = 512,
        max_running: int = 16,
        cache_blocks: int = 2048,
        cache_event_lag_ms: int = 300,
        cache_event_loss: float = 0.05,
        load_lag_ms: int = 500,
        load_model_ms: float = 2000.0,
        load_adapter_ms: float = 300.0,
        change_role_ms: float = 100.0,
        kv_bytes_per_token: int = 65_536,
        kv_bytes_per_ms: int = 1_000_000,
        kv_base_ms: float = 5.0,
        orders_fenced: bool = False,
        crash_marker: str = 'crash_this_engine',
        seed: int = 1,
    ) -> None:
        self.time_scale = time_scale
        self.step_base_ms = step_base_ms
        self.step_per_request_ms = step_per_request_ms
        self.prefill_per_token_ms = prefill_per_token_ms
        self.prefill_chunk_tokens = prefill_chunk_tokens
        self.max_running = max_running
        self.cache_blocks = cache_blocks
        self.cache_event_lag_ms = cache_event_lag_ms
        self.cache_event_loss = cache_event_loss
        self.load_lag_ms = load_lag_ms
        self.load_model_ms = load_model_ms
        self.load_adapter_ms = load_adapter_ms
        self.change_role_ms = change_role_ms
        self.kv_bytes_per_token = kv_bytes_per_token
        self.kv_bytes_per_ms = kv_bytes_per_ms
        self.kv_base_ms = kv_base_ms
        self.orders_fenced = orders_fenced
        self.crash_marker = crash_marker
        self.seed = seed
