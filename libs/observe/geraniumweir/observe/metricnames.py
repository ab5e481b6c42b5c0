"""Every metric of an entry host, with its meaning.

docs/METRICS.md holds the same list; a test compares the two. Labels have few
values (tiers, pools, codes): never a customer or a request, whose number
grows without bound.
"""

import dataclasses
import enum
import typing


class Kind(enum.Enum):
    """What a metric's value does."""

    counter = 'counter'
    gauge = 'gauge'
    latency = 'latency'


@dataclasses.dataclass(frozen=True, slots=True)
class Metric:
    """A metric.

    :ivar name: as Prometheus shows it.
    :ivar meaning: one sentence, with the unit.
    :ivar labels: names of the labels, in the order their values are given.
    """

    name: str
    kind: Kind
    meaning: str
    labels: tuple[str, ...] = ()


REQUESTS: typing.Final = Metric(
    'geraniumweir_requests_total',
    Kind.counter,
    'Calls that ended; outcome is done, refused, broken or cancelled.',
    ('tier', 'outcome'),
)
IN_TIME: typing.Final = Metric(
    'geraniumweir_in_time_total',
    Kind.counter,
    'Whole answers that ended before their deadline (goodput).',
    ('tier',),
)
REFUSALS: typing.Final = Metric(
    'geraniumweir_refusals_total',
    Kind.counter,
    'Refusals given to callers, by code and by whether the call ran.',
    ('code', 'ran'),
)
DISPATCHES: typing.Final = Metric(
    'geraniumweir_dispatches_total',
    Kind.counter,
    'Calls dispatched to backend servers.',
    ('pool',),
)
RETRIES: typing.Final = Metric(
    'geraniumweir_retries_total',
    Kind.counter,
    'Requests to be sent once more; outcome is sent, denied for want of budget,'
    ' or no_slot for any other denial.',
    ('pool', 'outcome'),
)
FAILED_SENDINGS: typing.Final = Metric(
    'geraniumweir_failed_sendings_total',
    Kind.counter,
    'Requests sent to a server without a good answer; proof is what shows that'
    ' the server did not run it: rejected, not_connected, not_relayed or none.',
    ('pool', 'proof'),
)
RELAYED: typing.Final = Metric(
    'geraniumweir_relayed_total',
    Kind.counter,
    'Requests sent through other entry hosts, or taken from them; outcome is'
    ' answered, declined, unreachable, failed or not_reached.',
    ('side', 'outcome'),
)
OUTPUT_TOKENS: typing.Final = Metric(
    'geraniumweir_output_tokens_total',
    Kind.counter,
    'Output tokens passed on to callers, estimated from stream events.',
    ('pool',),
)
WASTED_PREFILL: typing.Final = Metric(
    'geraniumweir_wasted_prefill_tokens_total',
    Kind.counter,
    'Prompt tokens processed for a call that then gave no whole answer.',
    ('pool',),
)
QUEUE_SECONDS: typing.Final = Metric(
    'geraniumweir_queue_seconds',
    Kind.latency,
    'From ask to grant, in seconds.',
    ('pool', 'tier'),
)
FIRST_TOKEN_SECONDS: typing.Final = Metric(
    'geraniumweir_first_token_seconds',
    Kind.latency,
    'From arrival of a call to its first token, in seconds.',
    ('pool', 'tier'),
)
REQUEST_SECONDS: typing.Final = Metric(
    'geraniumweir_request_seconds',
    Kind.latency,
    'From arrival of a call to the end of its answer, in seconds.',
    ('pool', 'tier'),
)
OPEN_CALLS: typing.Final = Metric(
    'geraniumweir_open_calls',
    Kind.gauge,
    'Calls that are waiting or being answered on this host.',
)
WAITING: typing.Final = Metric(
    'geraniumweir_waiting',
    Kind.gauge,
    'Requests in the queue of a pool that this host leads.',
    ('pool', 'tier'),
)
RUNNING: typing.Final = Metric(
    'geraniumweir_running',
    Kind.gauge,
    'Open grants of a pool that this host leads.',
    ('pool', 'tier'),
)
SERVERS: typing.Final = Metric(
    'geraniumweir_servers',
    Kind.gauge,
    'Backend servers of a pool with a lease that holds.',
    ('pool',),
)
PEER_MESSAGES: typing.Final = Metric(
    'geraniumweir_peer_messages',
    Kind.gauge,
    'Messages sent to other hosts since the start, by type.',
    ('message',),
)
PEER_BYTES: typing.Final = Metric(
    'geraniumweir_peer_bytes',
    Kind.gauge,
    'Bytes sent to other hosts since the start, by type of message.',
    ('message',),
)
LIMITED_SERVERS: typing.Final = Metric(
    'geraniumweir_limited_servers',
    Kind.gauge,
    'Backend servers of a pool that name how many requests they take.',
    ('pool',),
)
DOCUMENT_UNCONFIRMED: typing.Final = Metric(
    'geraniumweir_document_unconfirmed_seconds',
    Kind.gauge,
    'Time since a control host last confirmed the document in force.',
)
CUSTOMERS_ABOVE_SHARE: typing.Final = Metric(
    'geraniumweir_customers_above_share',
    Kind.gauge,
    'Customers held at their fair shares of slots by a pool led here.',
    ('pool',),
)
HELD_BYTES: typing.Final = Metric(
    'geraniumweir_held_bytes',
    Kind.gauge,
    'Bytes of responses that callers have not taken yet.',
)
HELD_BODY_BYTES: typing.Final = Metric(
    'geraniumweir_held_body_bytes',
    Kind.gauge,
    'Bytes that are reserved for bodies of requests, copies included.',
)
READING_PAUSED: typing.Final = Metric(
    'geraniumweir_reading_paused_total',
    Kind.counter,
    'Responses no longer read ahead, by the bound: response or host.',
    ('bound',),
)
RESUMED_STREAMS: typing.Final = Metric(
    'geraniumweir_resumed_streams_total',
    Kind.counter,
    'Streams that callers took up, by whether their first server is known.',
    ('origin',),
)
CONFIG_VERSION: typing.Final = Metric(
    'geraniumweir_config_version',
    Kind.gauge,
    'Version of the configuration in force on this host.',
)
CONFIG_SURE: typing.Final = Metric(
    'geraniumweir_config_sure',
    Kind.gauge,
    '1 where the version was checked against a majority, else 0 (unsure).',
)
CONFIG_HEARD: typing.Final = Metric(
    'geraniumweir_config_heard_seconds',
    Kind.gauge,
    'Since the leader of the replicated log was heard of; absent if never.',
)
LOG_ROLE: typing.Final = Metric(
    'geraniumweir_log_role',
    Kind.gauge,
    '1 for what this recorder is: follower, candidate, leader or failed.',
    ('role',),
)
LOG_UNAPPLIED: typing.Final = Metric(
    'geraniumweir_log_unapplied',
    Kind.gauge,
    'Committed entries of the replicated log that are not applied here yet.',
)
LOG_LAG: typing.Final = Metric(
    'geraniumweir_log_lag',
    Kind.gauge,
    'Entries that a recorder lacks, as this one sees it while it leads.',
    ('recorder',),
)
DRAINING: typing.Final = Metric(
    'geraniumweir_draining',
    Kind.gauge,
    '1 while this host takes no new calls, else 0.',
)
LIVE_HOSTS: typing.Final = Metric(
    'geraniumweir_live_hosts',
    Kind.gauge,
    'Entry hosts that this host takes for alive, by failure domain.',
    ('failure_domain',),
)
SPANS_DROPPED: typing.Final = Metric(
    'geraniumweir_spans_dropped',
    Kind.gauge,
    'Spans lost since the start because the trace queue was full.',
)
