"""State machine test of the invariants of a pool leader.

Servers appear, leave and crash, requests of all kinds arrive, owners answer
preemptions late, repeat releases and hand over to a new leader. After each
step the grants in use are counted independently of the leader.
"""

import asyncio
import collections
import dataclasses

import hypothesis
from geraniumweir.common import ids, virtual
from geraniumweir.scheduling import requests
from geraniumweir.scheduling.tests import scenes
from hypothesis import stateful
from hypothesis import strategies as st

_KV_TOKENS = 1100
_MAX_OUTPUT_TOKENS = 256
_SLOTS = 3
_QUEUE = 6
_CAPACITY_REASONS = {
    requests.DenialReason.shed,
    requests.DenialReason.too_late,
    requests.DenialReason.queue_full,
}
_UNCHANGED_SECONDS = 1.0
_FRESH_SECONDS = 4.5


@dataclasses.dataclass(slots=True)
class _Use:
    """Grant in use as its owner sees it."""

    slot_request: requests.SlotRequest
    grant: requests.Grant
    since: float


class LeaderMachine(stateful.RuleBasedStateMachine):
    """State machine that drives a leader and checks it from outside."""

    def __init__(self) -> None:
        """Initialize with two servers."""
        super().__init__()
        self.loop = virtual.VirtualTimeLoop()
        self.runner = asyncio.Runner(loop_factory=lambda: self.loop)
        self.asked: dict[ids.RequestId, requests.SlotRequest] = {}
        self.used: dict[ids.RequestId, _Use] = {}
        self.tasks: dict[
            ids.RequestId,
            tuple[requests.SlotRequest, asyncio.Task[scenes.Answer]],
        ] = {}
        self.cancels_at_once = True
        self.incarnations: collections.Counter[str] = collections.Counter()
        self.runner.run(self._begin())

    async def _begin(self) -> None:
        self.scene = scenes.Scene(queue_limit=_QUEUE)
        self.scene.live = [self._engine('e0'), self._engine('e1')]

    def _engine(self, name: str) -> scenes.servers.Announcement:
        return scenes.engine(
            name,
            slots=_SLOTS,
            kv_tokens=_KV_TOKENS,
            incarnation=ids.Incarnation(1 + self.incarnations[name]),
            can_cancel=name != 'e2',
        )

    @stateful.rule(
        tier=st.sampled_from(ids.Tier),
        customer=st.sampled_from(['anna', 'bert', 'carl']),
        wait=st.sampled_from([3.8, 4.5, 6.0, 20.0]),
        prompt_tokens=st.sampled_from([10, 50, 400, 600]),
        idempotent=st.booleans(),
    )
    def ask(
        self,
        tier: ids.Tier,
        customer: str,
        wait: float,
        prompt_tokens: int,
        idempotent: bool,
    ) -> None:
        """A request arrives."""
        slot_request = self.scene.make(
            wait,
            tier=tier,
            customer=ids.CustomerName(customer),
            prompt_tokens=prompt_tokens,
            idempotent=idempotent,
        )
        self._ask(slot_request)

    def _ask(self, slot_request: requests.SlotRequest) -> None:
        self.asked[slot_request.request_id] = slot_request
        task = self.loop.create_task(
            self.scene.leader.request_slot(slot_request)
        )
        self.tasks[slot_request.request_id] = (slot_request, task)
        self._pass(0.001)

    @stateful.rule(tier=st.sampled_from(list(ids.Tier)[:3]))
    def fill_and_send_higher(self, tier: ids.Tier) -> None:
        """Low tiers fill the servers, then a higher request arrives."""
        for number in range(2 * _SLOTS):
            idempotent = number != _SLOTS
            low = self.scene.make(
                20,
                tier=ids.Tier.low,
                idempotent=idempotent,
            )
            self._ask(low)
        self._pass(1.2)
        self._ask(self.scene.make(4, tier=tier))
        self._pass(2)

    @stateful.precondition(lambda machine: machine.tasks)
    @stateful.rule(pick=st.randoms(use_true_random=False))
    def repeat_request(self, pick: object) -> None:
        """An owner repeats a waiting slot request."""
        slot_request, _ = pick.choice(list(self.tasks.values()))  # type: ignore
        again = self.loop.create_task(
            self.scene.leader.request_slot(slot_request)
        )
        self._pass(0.001)
        again.cancel()

    @stateful.precondition(lambda machine: machine.tasks)
    @stateful.rule(pick=st.randoms(use_true_random=False))
    def withdraw(self, pick: object) -> None:
        """A caller disconnects."""
        request_id = pick.choice(list(self.tasks))  # type: ignore
        self.scene.leader.withdraw(request_id)
        self._pass(0.001)

    @stateful.precondition(lambda machine: machine.used)
    @stateful.rule(
        pick=st.randoms(use_true_random=False),
        outcome=st.sampled_from(
            [
                requests.Outcome.done,
                requests.Outcome.cancelled,
                requests.Outcome.failed,
                requests.Outcome.given_up,
                requests.Outcome.not_sent,
                requests.Outcome.turned_away,
            ],
        ),
        repeat=st.booleans(),
    )
    def release(
        self,
        pick: object,
        outcome: requests.Outcome,
        repeat: bool,
    ) -> None:
        """A granted request ends, and its release may arrive twice."""
        request_id = pick.choice(list(self.used))  # type: ignore
        for _ in range(1 + repeat):
            self._release(request_id, outcome)

    def _release(
        self,
        request_id: ids.RequestId,
        outcome: requests.Outcome,
    ) -> None:
        use = self.used.pop(request_id, None)
        self.scene.leader.release(
            requests.Release(request_id, outcome, 0.045, 128, 2.605),
        )
        self._pass(0.001)
        if use and outcome is requests.Outcome.not_sent:
            # Past its deadline it would be denied whatever else runs.
            due = max(
                use.slot_request.deadline, self.loop.time() + _FRESH_SECONDS
            )
            self._ask(dataclasses.replace(use.slot_request, deadline=due))

    @stateful.rule(at_once=st.booleans())
    def set_owners(self, at_once: bool) -> None:
        """Owners cancel preempted streams at once or late."""
        self.cancels_at_once = at_once
        self._pass(0.05)

    def _cancel_preempted(self) -> None:
        for preempt in list(self.scene.preempts):
            if preempt.request_id in self.used:
                self.used.pop(preempt.request_id)
                self.scene.leader.release(
                    requests.Release(
                        preempt.request_id,
                        requests.Outcome.preempted,
                    ),
                )

    @stateful.rule(seconds=st.sampled_from([0.05, 0.5, 2.0]))
    def wait(self, seconds: float) -> None:
        """Time passes."""
        self._pass(seconds)

    @stateful.rule(name=st.sampled_from(['e0', 'e1', 'e2']))
    def appear_or_leave(self, name: str) -> None:
        """A server appears or leaves; its requests continue."""
        live = [one for one in self.scene.live if one.server_id != name]
        if len(live) == len(self.scene.live):
            live.append(self._engine(name))
        self.scene.live = live
        self._pass(0.03)
        self.scene.leader.grant_waiting()
        self._pass(0.03)

    @stateful.rule(name=st.sampled_from(['e0', 'e1', 'e2']))
    def crash(self, name: str) -> None:
        """A server crashes, and the owners notice."""
        incarnation = ids.Incarnation(1 + self.incarnations[name])
        self.incarnations[name] += 1
        lost = [
            request_id
            for request_id, use in self.used.items()
            if use.grant.server_id == name
        ]
        for request_id in lost:
            self.used.pop(request_id)
        self.scene.leader.server_crashed(ids.ServerId(name), incarnation)
        for request_id in lost:
            self.scene.leader.release(
                requests.Release(request_id, requests.Outcome.crashed),
            )
        self.scene.change(name, incarnation=ids.Incarnation(incarnation + 1))
        self._pass(0.3)

    @stateful.rule()
    def change_leader(self) -> None:
        """A new leader takes over the grants and the waiting requests."""
        self.runner.run(self._change_leader())
        self._collect()

    async def _change_leader(self) -> None:
        before = self.scene
        asks = [slot_request for slot_request, _ in self.tasks.values()]
        for _, task in self.tasks.values():
            task.cancel()
        self.tasks.clear()
        self.scene = scenes.Scene(queue_limit=_QUEUE, takeover_seconds=5)
        self.scene.live = before.live
        self.scene.numbers = before.numbers
        self.scene.leader.adopt(
            [
                requests.OpenGrant(use.slot_request, use.grant, 0.1)
                for use in self.used.values()
            ],
        )
        self.scene.leader.takeover_complete()
        for waiting in asks:
            coro = self.scene.leader.request_slot(waiting)
            again = self.loop.create_task(coro)
            self.tasks[waiting.request_id] = (waiting, again)
        await asyncio.sleep(0.001)

    def _pass(self, seconds: float) -> None:
        end = self.loop.time() + seconds
        # In small steps, so that each denial is checked when it arrives.
        while self.loop.time() < end:
            step = min(0.05, end - self.loop.time())
            self.runner.run(asyncio.sleep(step))
            self._collect()
            if self.cancels_at_once:
                self._cancel_preempted()

    def _collect(self) -> None:
        for slot_request, task in list(self.tasks.values()):
            if task.done():
                self.tasks.pop(slot_request.request_id)
                self._answered(slot_request, task.result())

    def _answered(
        self, slot_request: requests.SlotRequest, answer: scenes.Answer
    ) -> None:
        match answer:
            case requests.Grant():
                assert slot_request.request_id not in self.used
                now = self.loop.time()
                self.used[slot_request.request_id] = _Use(
                    slot_request, answer, now
                )
            case requests.Denial(reason=reason) if reason in _CAPACITY_REASONS:
                self._check_denial(slot_request)

    def _check_denial(self, denied: requests.SlotRequest) -> None:
        """Check that no lower tier runs where a denied request could have."""
        if any(one.request_id in self.used for one in self.scene.preempts):
            # Owners have not yet cancelled all preempted streams.
            return
        live = {one.server_id: one for one in self.scene.live}
        capacity = self.scene.leader.summary().capacity
        if sum(one.slots for one in capacity) < _SLOTS * len(live):
            # A server in probation or with failures cannot take every request.
            return
        for name, server in live.items():
            uses = [
                use for use in self.used.values() if use.grant.server_id == name
            ]
            if server.can_cancel and self._is_unchanged(uses):
                assert not _could_have_run(uses, denied)

    def _is_unchanged(self, uses: list[_Use]) -> bool:
        """Return whether a server has been unchanged for a while.

        Prefill granted just before may make it too slow for the request.
        """
        now = self.loop.time()
        return all(now - use.since > _UNCHANGED_SECONDS for use in uses)

    @stateful.invariant()
    def never_overcommitted(self) -> None:
        """Check that slots and KV cache room hold what was granted."""
        by_server = collections.defaultdict(list)
        for use in self.used.values():
            by_server[use.grant.server_id].append(use.slot_request)
        for asks in by_server.values():
            assert len(asks) <= _SLOTS
            tokens = sum(slot_request.prompt_tokens for slot_request in asks)
            assert tokens <= _KV_TOKENS

    @stateful.invariant()
    def preempts_only_what_may_be(self) -> None:
        """Check that nothing non-idempotent is preempted, and nothing twice."""
        wanted = [one.request_id for one in self.scene.preempts]
        assert len(set(wanted)) == len(wanted)
        for request_id in wanted:
            assert self.asked[request_id].idempotent

    @stateful.invariant()
    def nothing_waits_beside_free_servers(self) -> None:
        """Check that nothing waits while trusted servers are all free."""
        capacity = self.scene.leader.summary().capacity
        if not self.used and any(one.free for one in capacity):
            assert not self.tasks

    def teardown(self) -> None:
        """Close the loop."""
        self.runner.close()


def _could_have_run(uses: list[_Use], denied: requests.SlotRequest) -> bool:
    """Return whether lower tiers held the room that a request needs."""
    staying = [
        use.slot_request for use in uses if not _is_preemptible(use, denied)
    ]
    tokens = sum(
        slot_request.prompt_tokens + _MAX_OUTPUT_TOKENS
        for slot_request in (*staying, denied)
    )
    return len(staying) < len(uses) and tokens <= _KV_TOKENS


def _is_preemptible(use: _Use, denied: requests.SlotRequest) -> bool:
    return use.slot_request.idempotent and use.slot_request.tier > denied.tier


TestLeader = LeaderMachine.TestCase
TestLeader.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
