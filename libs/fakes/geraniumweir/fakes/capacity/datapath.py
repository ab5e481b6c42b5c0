"""The data path: what calls and tokens cost entry hosts and pool leaders."""

from geraniumweir.fakes.capacity import control, letter
from geraniumweir.fakes.capacity.figures import Figures
from geraniumweir.fakes.capacity.parts import Part

# An owner tells the leader of each open stream this often a second.
PROGRESS_RATE = 4
_QUEUE_LIMIT = 10000
_BLOCKS_KEPT = 8192


def entry_host(slopes: Figures, hosts: int = letter.HOSTS) -> list[Part]:
    """Give what calls cost one entry host at the peak.

    :param hosts: among which the load is shared.
    """
    calls = letter.REQUESTS / hosts
    tokens = letter.TOKENS / hosts
    streams = letter.OPEN_STREAMS / hosts
    told = streams * PROGRESS_RATE
    return [
        Part(
            f'{calls:.1f} calls/s taken, decided, dispatched',
            'daemon.callers, admission, dispatching; configuration.matching',
            processor=calls * slopes.at('callpath.call', calls),
        ),
        Part(
            f'{tokens:,.0f} tokens/s passed on, {streams:.0f} streams open',
            'daemon.relaying, backends.streams',
            processor=tokens * slopes.at('callpath.token', streams),
            memory=streams * slopes.at('callpath.stream', streams),
        ),
        Part(
            'asks and releases sent (half of both ends)',
            'scheduling.broker, requesting; wire.tcp',
            calls * slopes.largest('wire.cycle.owner_messages'),
            calls * slopes.largest('wire.cycle.owner_bytes'),
            calls * slopes.smallest('wire.cycle') / 2,
        ),
        Part(
            f'progress of each stream, {PROGRESS_RATE}/s',
            'daemon.relaying, scheduling.broker',
            told,
            told * _progress_bytes(slopes),
            told * slopes.smallest('wire.send') / 2,
        ),
    ]


def pool_leader(
    slopes: Figures,
    domains: int = letter.DOMAINS,
) -> list[Part]:
    """Give what leading the one pool of a failure domain costs.

    :param domains: among which the load is shared.
    """
    calls = letter.REQUESTS / domains
    streams = letter.OPEN_STREAMS / domains
    servers = letter.SERVERS_IN_DOMAIN
    waiting = letter.WAITING / domains
    told = streams * PROGRESS_RATE
    decision = slopes.at('scheduling.cycle_by_waiting', waiting)
    reports = servers * control.ANNOUNCED_TO
    return [
        Part(
            f'{calls:.0f} asks and releases/s (half of both ends)',
            'scheduling.remote, led; wire.tcp',
            calls * slopes.largest('wire.cycle.leader_messages'),
            calls * slopes.largest('wire.cycle.leader_bytes'),
            calls * slopes.smallest('wire.cycle') / 2,
        ),
        Part(
            f'decisions with {waiting:.0f} waiting, {servers:.0f} servers',
            'scheduling.deadline_granting, fairqueue, placement, ticking',
            processor=calls * decision + slopes.at('scheduling.idle', servers),
            memory=servers * slopes.largest('scheduling.memory_server'),
        ),
        Part(
            f'progress of {streams:,.0f} streams taken, {told:,.0f}/s',
            'scheduling.remote, progressing',
            processor=told * slopes.smallest('wire.send') / 2,
            memory=streams * slopes.largest('scheduling.memory_grant'),
        ),
        Part(
            f'reports of {servers:.0f} servers',
            'daemon.announcements, reports',
            processor=reports * slopes.at('announcing.report', servers),
        ),
        Part(
            f'queue at its bound of {_QUEUE_LIMIT}',
            'scheduling.waitlist, shedding',
            memory=_QUEUE_LIMIT * slopes.largest('scheduling.memory_waiting'),
        ),
        Part(
            f'prefix index, {_BLOCKS_KEPT} blocks a server',
            'scheduling.prefix',
            memory=servers
            * _BLOCKS_KEPT
            * slopes.largest('scheduling.memory_block'),
        ),
    ]


def claims(slopes: Figures) -> list[Part]:
    """Give what claimed calls cost the log's leader.

    A claim and its end are a proposal each, as they come from many hosts.
    """
    rate = letter.REQUESTS * letter.CLAIMED_SHARE
    proposals = rate * 2
    return [
        Part(
            f'{rate:.0f} claimed calls/s: {proposals:.0f} proposals',
            'configuration.claims, consensus.replication',
            proposals * slopes.smallest('consensus.batch.leader_messages'),
            proposals * slopes.smallest('consensus.batch.leader_bytes'),
            proposals * slopes.smallest('consensus.batch.processor'),
        ),
    ]


def _progress_bytes(slopes: Figures) -> float:
    return slopes.largest('wire.cycle.progress_bytes')
