"""Requests as admitted, and the resources that all requests of a host share."""

import dataclasses
import enum
import typing

from geraniumweir.common import ids
from geraniumweir.gateway import (
    codec,
    draining,
    preemption,
    relay_client,
    response_buffer,
    response_notices,
)
from geraniumweir.observe import metrics
from geraniumweir.routing import tables
from geraniumweir.scheduling import requests, stream_origins, views


class StreamDirectory(typing.Protocol):
    """Origins of streams, at this host or elsewhere."""

    def record(self, begin: stream_origins.StreamBegin) -> None:
        """Record a stream that begins at this host."""

    async def find(
        self,
        key: ids.StreamKey,
        claim: stream_origins.ContentClaim | None = None,
    ) -> stream_origins.StreamOrigin | None:
        """Return the origin of a stream, None if it isn't known.

        :param claim: of a caller that names a content, None for an attempt.
        """

    def record_grant(
        self, slot_request: requests.SlotRequest, grant: requests.Grant
    ) -> None:
        """Record the version of a grant for the content of its request."""

    def is_certain(self, origin: stream_origins.StreamOrigin) -> bool:
        """Return whether the version of an origin is certain by now."""


class GrantCheck(typing.Protocol):
    """Check of a grant immediately before its request is sent."""

    def unusable_reason(self, grant: requests.Grant) -> enum.Enum | None:
        """Return why a grant can't be used, None if it can."""


@dataclasses.dataclass(frozen=True, slots=True)
class SharedResources:
    """Resources that all requests of a host share."""

    sender: relay_client.RequestSender
    codec: codec.Codec
    scheduler: views.Scheduler
    server_notices: response_notices.NoticeRecorder
    check: GrantCheck
    meter: metrics.Metrics
    streams: StreamDirectory
    buffers: response_buffer.ResponseBuffers
    drain: draining.Drain = dataclasses.field(default_factory=draining.Drain)
    running: preemption.RunningAttempts = dataclasses.field(
        default_factory=preemption.RunningAttempts,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that was assigned to a pool.

    :ivar deadline: when its response is due, in seconds on the loop's clock.
    :ivar event_tokens: tokens in one event of its stream.
    :ivar began: where the stream began that it takes up, None for none.
    """

    caller_request: codec.Request
    body: bytes
    route: tables.Route
    customer: tables.Customer | None
    slot_request: requests.SlotRequest
    deadline: float
    event_tokens: int
    began: stream_origins.StreamOrigin | None = None

    @property
    def stream_key(self) -> ids.StreamKey:
        """The key under which another attempt may take its stream up."""
        return stream_origins.key_of(
            self.slot_request.customer, self.caller_request.request_id
        )

    @property
    def customer_key(self) -> ids.CustomerKey:
        """The key of its customer."""
        return stream_origins.key_of_customer(self.slot_request.customer)

    @property
    def content_key(self) -> ids.StreamKey:
        """The same for an attempt that names none before it."""
        return stream_origins.key_of_content(
            self.slot_request.customer, self.slot_request.fingerprint
        )
