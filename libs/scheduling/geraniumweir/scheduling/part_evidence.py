"""Detection of parts of prompts that crash backend servers.

No two requests with such a part need be alike, so whole requests show nothing.
A server crashes before it writes on such a part. So each crash speaks against
all parts of the requests that ran on the server without a first event, and the
first event of an answer clears the parts of its request. The part that crashes
servers is in each crash and in no answer. This is group testing [1]_.

Each part is tested by a likelihood ratio [2]_. A sound request ends in a crash
with a probability that is estimated from recent requests. A crash that a part
is in, with no answer to the part since, multiplies the ratio for that part by
the inverse of that probability. The ratio times the prior probability that a
part is bad is the weight of the part. Parts in the same crash compete to
explain it: the probability that a request crashes its server is the weight of
its parts, relative to those of all parts in the crash and to one for other
causes. Parts that always come together share the weight. A request with all of
them is refused; one with some of them is a trial, one at a time, that tells
them apart.

What one customer's requests show counts less for the other customers' requests:
a customer whose own parts crash servers could name the parts of others. That
holds also for a crash in which requests of both were.

A connection that breaks off may be due to the network. Requests of one failure
domain that break off on several servers at a time don't count until a crash is
confirmed. A later answer of the server disproves the crash.

A part that is refused is tried again with one request after some time, which
grows with each crash.

References
==========
.. [1] R. Dorfman, "The Detection of Defective Members of Large Populations",
   Annals of Mathematical Statistics 14(4), 1943.
.. [2] A. Wald, "Sequential Tests of Statistical Hypotheses", Annals of
   Mathematical Statistics 16(2), 1945.
"""

import dataclasses
import enum
import typing

from geraniumweir.common import ids
from geraniumweir.scheduling import (
    crash_records,
    crash_table,
    notices,
    part_trials,
    part_weights,
)

# A request is refused from this probability on that it crashes its server.
_REFUSED_PROBABILITY = 0.9
# From this probability on, requests are sent one at a time.
_DOUBTFUL_PROBABILITY = 0.2
# Time for which computed probabilities are used while no crash is recorded.
_COMPUTED_SECONDS = 0.25

Parts = typing.Sequence[ids.PromptPart]


class Verdict(enum.Enum):
    """What may be done with a request.

    :cvar clear: it may run.
    :cvar trial: it may run, and no other with its suspected parts meanwhile.
    :cvar waits: another trial of its parts runs.
    :cvar refused: it would crash its server.
    """

    clear = 'clear'
    trial = 'trial'
    waits = 'waits'
    refused = 'refused'


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedPart:
    """A part that is refused.

    :ivar customers: whose requests with it were in crashes, without those of
        others.
    """

    part: ids.PromptPart
    trials: part_trials.Trials
    customers: frozenset[ids.CustomerName]

    def concerns(self, customer: ids.CustomerName) -> bool:
        """Return whether a customer's requests with the part are refused."""
        return customer in self.customers or len(self.customers) > 1


class PartEvidence:
    """What crashes and answers show about prompt parts.

    :ivar crashes: the crashes with the parts that may explain them.
    :ivar trials: trials of suspected parts.
    """

    def __init__(self) -> None:
        """Initialize without crashes."""
        self.trials = part_trials.TrialTable()
        self.crashes = crash_table.CrashTable(self.trials.is_refused)
        self._refused_elsewhere: dict[ids.PromptPart, RefusedPart] = {}
        self._computed = part_weights.PartWeights(self.crashes, float('-inf'))

    @property
    def revision(self) -> int:
        """Return a number that grows with each change."""
        return self.crashes.revision + self.trials.revision

    def merge(
        self,
        crashes: typing.Iterable[crash_records.Crash],
        refused: typing.Iterable[RefusedPart],
    ) -> None:
        """Take over what another host knows."""
        self.crashes.merge(crashes)
        for found in refused:
            if found.part in self.crashes:
                self.trials.merge(found.part, found.trials)

    def refused(self) -> list[RefusedPart]:
        """List the parts that are refused."""
        return [
            RefusedPart(part, trials, self.crashes.by_part.customers(part))
            for part, trials in self.trials.refused().items()
            if part in self.crashes
        ]

    def set_refused_elsewhere(
        self, refused: typing.Iterable[RefusedPart]
    ) -> None:
        """Set the parts that the coordinator refuses.

        They hold where this host leads without one: it has seen few crashes.
        """
        self._refused_elsewhere = {found.part: found for found in refused}

    def record_break(
        self,
        start: notices.ServerIncarnation,
        broken: crash_records.Broken,
        now: float,
    ) -> None:
        """Record that the answer to a request broke off."""
        self.crashes.record_break(start, broken, now)

    def record_begin(
        self,
        start: notices.ServerIncarnation,
        parts: Parts,
        now: float,
    ) -> list[ids.PromptPart]:
        """Record that an answer began.

        :returns: parts that were refused and are cleared.
        """
        self.crashes.record_begin(now)
        self.crashes.record_answer(start, now)
        if self.crashes.is_empty():
            return []
        cleared = [part for part in parts if part in self.crashes]
        cleared = [part for part in cleared if self.crashes.clear(part, now)]
        refused = [part for part in cleared if self.trials.is_refused(part)]
        for part in cleared:
            self.trials.clear(part)
        return refused

    def verdict(
        self,
        customer: ids.CustomerName,
        parts: Parts,
        now: float,
    ) -> Verdict:
        """Return what may be done with a request.

        :param parts: shared parts of its prompt.
        """
        if self._seconds_elsewhere(customer, parts, now):
            return Verdict.refused
        suspected = [part for part in parts if part in self.crashes]
        if not suspected:
            return Verdict.clear
        probability, leading = self._crash_probability(customer, suspected, now)
        if probability < _DOUBTFUL_PROBABILITY:
            return Verdict.clear
        is_tried = any(self.trials.is_running(one, now) for one in leading)
        if probability < _REFUSED_PROBABILITY:
            return Verdict.waits if is_tried else Verdict.trial
        if is_tried or not self._may_try(customer, leading, now):
            return Verdict.refused
        return Verdict.trial

    def begin_trial(
        self,
        request_id: ids.RequestId,
        customer: ids.CustomerName,
        parts: Parts,
        now: float,
    ) -> None:
        """Record that a request is sent to a server as a trial of its parts.

        Of those that explain a crash, and of all that are refused.
        """
        leading = self.leading_parts(customer, parts, now)
        refused = [
            part
            for part in parts
            if part in self.crashes and self.trials.is_refused(part)
        ]
        for part in dict.fromkeys((*leading, *refused)):
            is_new = customer not in self.crashes.by_part.customers(part)
            self.trials.begin(part, request_id, now, by_customer=is_new)

    def end_trial(self, request_id: ids.RequestId, parts: Parts) -> None:
        """Record that a request has an answer, or none will come."""
        for part in parts:
            self.trials.end(part, request_id)

    def refuse(self, parts: Parts, now: float) -> list[ids.PromptPart]:
        """Refuse what explains crashes, until the next trial.

        :returns: parts that weren't refused before.
        """
        new = [
            part
            for part in parts
            if part in self.crashes and not self.trials.is_refused(part)
        ]
        for part in new:
            self.trials.refuse(part, now)
        return new

    def is_empty(self) -> bool:
        """Return whether all requests are clear."""
        return self.crashes.is_empty() and not self._refused_elsewhere

    def retry_seconds(
        self, customer: ids.CustomerName, parts: Parts, now: float
    ) -> float:
        """Return the seconds until refused parts are tried again."""
        times = [
            self.trials.of_part(part).next_at - now
            for part in parts
            if self.trials.is_refused(part)
        ]
        elsewhere = self._seconds_elsewhere(customer, parts, now)
        return max(*times, elsewhere, 0)

    def _seconds_elsewhere(
        self, customer: ids.CustomerName, parts: Parts, now: float
    ) -> float:
        """Return the seconds for which the coordinator refuses parts."""
        found = [
            self._refused_elsewhere[part]
            for part in parts
            if part in self._refused_elsewhere
        ]
        return max(
            (
                one.trials.next_at - now
                for one in found
                if one.concerns(customer) and one.trials.next_at > now
            ),
            default=0,
        )

    def leading_parts(
        self, customer: ids.CustomerName, parts: Parts, now: float
    ) -> list[ids.PromptPart]:
        """List the parts of a request that explain a crash best, some at most.

        They stand for all parts that always come with them.
        """
        suspected = [part for part in parts if part in self.crashes]
        return self._crash_probability(customer, suspected, now)[1]

    def _may_try(
        self, customer: ids.CustomerName, leading: Parts, now: float
    ) -> bool:
        """Return whether a request may try parts that are refused.

        Either the time has come, or its customer's requests were in no crash
        and no such customer has tried the parts yet.
        """
        known = [self.trials.of_part(part) for part in leading]
        if all(one.next_at and now >= one.next_at for one in known):
            return True
        if any(
            customer in self.crashes.by_part.customers(part) for part in leading
        ):
            return False
        return not any(one.by_customer for one in known)

    def _crash_probability(
        self,
        customer: ids.CustomerName,
        suspected: Parts,
        now: float,
    ) -> tuple[float, list[ids.PromptPart]]:
        """Return the probability that a request crashes its server.

        :returns: besides, the parts that explain the crash which shows it.
        """
        known = self._computed
        is_old = now - known.at > _COMPUTED_SECONDS
        if is_old or known.revision != self.crashes.revision:
            known = part_weights.PartWeights(self.crashes, now)
            self._computed = known
        return known.crash_probability(customer, tuple(suspected))
