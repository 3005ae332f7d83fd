"""Settings of the request policy and their defaults."""

import attrs


@attrs.frozen
class RequestSettings:
    """Limits and switches of the request policy.

    Times are in milliseconds. ``subset_size`` is the number of targets of a
    pool that one host uses; of smaller pools it uses all.
    """

    tick_ms: int = 100
    max_jobs: int = 4_096
    max_queued_per_pool: int = 512
    max_calls_per_target: int = 32
    max_attempts_per_stage: int = 4
    min_first_byte_ms: int = 500
    probe_timeout_ms: int = 500
    claim_poll_ms: int = 250
    store_backoff_ms: int = 1_000
    subset_size: int = 32
    retry_ratio: float = 0.02
    hedge_ratio: float = 0.02
    hedge_burst: float = 2.0
    hedge_quantile: float = 0.98
    quarantine_ms: int = 600_000
    leaving_ms: int = 60_000
    is_admission_on: bool = True
    is_hedging_on: bool = True
    is_ejection_on: bool = True
