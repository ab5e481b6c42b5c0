"""The stream of one request: where it began, and what is left of it.

See Also
========
geraniumweir.scheduling.stream_origins
"""

import dataclasses
import time

from geraniumweir.gateway import (
    attempts,
    context,
    grant_check,
    response_writer,
)
from geraniumweir.scheduling import requests, stream_origins


@dataclasses.dataclass(slots=True)
class BegunStream:
    """The stream of a request.

    :ivar arrived: when the request arrived, in seconds on the loop's clock.
    :ivar begin: the beginning that the scheduler hasn't been told of yet.
    """

    directory: context.StreamDirectory
    state: attempts.StreamState
    admitted: context.AdmittedRequest
    arrived: float
    begin: stream_origins.StreamBegin | None = None

    def record_decision(
        self,
        slot_request: requests.SlotRequest,
        decision: requests.Grant | requests.Denial,
    ) -> None:
        """Record the version at which its request may begin, if granted."""
        resumable = slot_request.streams and self.admitted.route.resumable
        if resumable and isinstance(decision, requests.Grant):
            self.directory.record_grant(slot_request, decision)

    def record_first_event(self, grant: requests.Grant) -> None:
        """Record the server whose event is the first to be forwarded.

        An attempt that takes a stream up keeps the version that began it.
        """
        began_at = stream_origins.StreamOrigin(
            self.admitted.slot_request.pool,
            grant.version,
            grant.start,
            time.time(),
        )
        is_new = self.state.origin is None
        if self.state.origin is None:
            self.state.origin = began_at
        if self.admitted.route.resumable:
            self.begin = stream_origins.StreamBegin(
                self.admitted.stream_key,
                began_at,
                self._resumable_seconds(),
                self.admitted.content_key,
                self.admitted.customer_key if is_new else None,
            )
            self.directory.record(self.begin)

    def pop_begin(self) -> stream_origins.StreamBegin | None:
        """Return the beginning to tell the scheduler of, once."""
        begin = self.begin
        self.begin = None
        return begin

    def unusable_reason(
        self, grant: requests.Grant
    ) -> grant_check.UnusableReason | None:
        """Return why it may not go on at the server of a grant, if so."""
        origin = self.state.origin
        if origin is None or grant.version == origin.version:
            return None
        return grant_check.UnusableReason.other_version

    def is_certain(self) -> bool:
        """Return whether it hasn't begun, or the version is certain."""
        origin = self.state.origin
        return origin is None or self.directory.is_certain(origin)

    def rest(self, slot_request: requests.SlotRequest) -> requests.SlotRequest:
        """Return the slot request for what is left of it.

        A server reads what was generated like a part of the prompt.
        """
        if self.state.origin is None:
            return slot_request
        last = self.state.splitter.last or 0
        # Callers may name any event as the last one that they received.
        received = min(
            last * self.admitted.event_tokens, slot_request.max_tokens
        )
        return dataclasses.replace(
            slot_request,
            version=self.state.origin.version,
            prompt_tokens=slot_request.prompt_tokens + received,
            max_tokens=max(slot_request.max_tokens - received, 1),
            likely_tokens=max(slot_request.likely_tokens - received, 0),
        )

    def _resumable_seconds(self) -> float:
        """Return for how long its caller may return."""
        patience = self.admitted.caller_request.patience
        if patience is None:
            patience = self.admitted.route.timeout
        ends_at = self.arrived + stream_origins.resumable_seconds(patience)
        return ends_at - response_writer.now()
