"""What happened in one run, written down as it happens.

The policies don't see it; the figures are worked out from it afterwards.
"""

import collections
import dataclasses

from geraniumweir.common import ids
from geraniumweir.fakes.bench import engine_model, traffic


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """A call that ended for want of capacity in time, before it ran.

    :ivar at: when, in seconds of virtual time.
    """

    call: traffic.Call
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A call that an engine worked on.

    :ivar start: when it left the engine's own queue.
    """

    call: traffic.Call
    server_id: ids.ServerId
    start: float
    end: float


@dataclasses.dataclass(slots=True)
class Prefill:
    """Prompt tokens, by what became of them.

    :ivar dispatched: tokens of all prompts that engines admitted.
    :ivar computed: those not found in the engine's cache.
    :ivar thrown_away: computed for calls that gave no answer in time.
    :ivar repeated: computed for useful answers while a cache of the pool
        held them.
    :ivar recomputed: computed for useful answers after all caches had
        evicted them.
    """

    dispatched: int = 0
    computed: int = 0
    thrown_away: int = 0
    repeated: int = 0
    recomputed: int = 0


class Ledger:
    """The account of one run."""

    def __init__(self) -> None:
        """Start empty."""
        self.sheds: list[Shed] = []
        self.services: list[Service] = []
        self.prefill = Prefill()
        self.useful: set[int] = set()
        self.messages: collections.Counter[str] = collections.Counter()
        self.ends: collections.Counter[str] = collections.Counter()
        self.waits: dict[tuple[ids.Tier, ids.CustomerName], float] = {}
        self._dispatches: collections.Counter[ids.RequestId] = (
            collections.Counter()
        )

    def dispatched(self, call: traffic.Call) -> None:
        """Count a dispatch of which a byte was sent."""
        self._dispatches[call.request_id] += 1

    def dispatches_over_one(self) -> int:
        """Count dispatches beyond the one that each call may have."""
        return sum(count - 1 for count in self._dispatches.values())

    def waited(self, call: traffic.Call, until: float) -> None:
        """Note how long a call waited for its first token or its end."""
        key = (call.tier, call.intent.customer)
        wait = until - call.arrival
        self.waits[key] = max(wait, self.waits.get(key, 0))

    def shed(self, call: traffic.Call, now: float) -> None:
        """Note a call that ended for want of capacity."""
        self.sheds.append(Shed(call, now))
        self.waited(call, now)

    def job_over(
        self,
        job: engine_model.Job,
        server_id: ids.ServerId,
        now: float,
        useful: bool,
    ) -> None:
        """Account for the work on a dispatched call.

        :param useful: whether the whole answer came in time.
        """
        self.waited(job.call, job.first_token_at or now)
        if job.admitted_at is None:
            return
        span = Service(job.call, server_id, job.admitted_at, now)
        self.services.append(span)
        self.prefill.dispatched += job.call.prompt_tokens
        self.prefill.computed += job.computed
        if useful:
            self.useful.add(job.call.intent.number)
            self.prefill.repeated += job.repeated
            self.prefill.recomputed += job.recomputed
        else:
            self.prefill.thrown_away += job.computed
