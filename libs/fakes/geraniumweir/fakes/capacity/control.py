"""Control: what membership, following and the log cost each role."""

from geraniumweir.common import ids
from geraniumweir.consensus import settings
from geraniumweir.fakes.capacity import letter
from geraniumweir.fakes.capacity.figures import Figures
from geraniumweir.fakes.capacity.parts import Part

# Three hosts get a server's announcements, once a second each.
ANNOUNCED_TO = 3
_ANNOUNCED = letter.SERVERS * ANNOUNCED_TO / letter.HOSTS
_DELEGATES = 2
_KEPT_TEXTS = 8
_MEASURED_DOMAINS = 4
_OTHERS = letter.DOMAINS - 1
_CLAIMS_KEPT = 65536
_FOLLOWERS = letter.RECORDERS - 1


def entry_host(slopes: Figures) -> list[Part]:
    """Give what every entry host pays."""
    return [
        _process(slopes),
        _connections(slopes),
        _domain(slopes),
        _announcements(slopes),
        _following(slopes),
        changes(slopes, letter.CHANGES),
    ]


def delegate(slopes: Figures) -> list[Part]:
    """Give what a delegate pays, of which a domain has two."""
    return [*entry_host(slopes), _between_domains(slopes)]


def recorder(slopes: Figures) -> list[Part]:
    """Give what a recorder that doesn't lead the log pays."""
    return [*entry_host(slopes), _heard(slopes), *_recorded(slopes)]


def log_leader(slopes: Figures) -> list[Part]:
    """Give what the log's leader pays."""
    return [
        *entry_host(slopes),
        _led(slopes),
        *_recorded(slopes),
        proposals(slopes, letter.CHANGES),
    ]


def changes(slopes: Figures, rate: float) -> Part:
    """Give what bringing changes in force costs every host.

    :param rate: changes a second.
    """
    size = letter.CUSTOMERS
    sent = slopes.largest('configuring.change_messages')
    reading = sum(
        slopes.at(f'configuring.{step}', size)
        for step in ('read_change', 'compile', 'patch')
    )
    return Part(
        'changes read, put in force, passed on',
        'configuration.patches, reading, compiling, holding',
        rate * sent,
        rate * sent * slopes.at('configuring.patch_bytes', size),
        rate * reading,
        _KEPT_TEXTS * slopes.at('configuring.document', size)
        + slopes.at('configuring.read_kept', size),
    )


def proposals(slopes: Figures, rate: float) -> Part:
    """Give what proposing changes costs the log's leader.

    :param rate: changes a second.
    """
    size = letter.CUSTOMERS
    return Part(
        'changes sent to the other recorders',
        'consensus.replication, configuration.commands',
        rate * _FOLLOWERS,
        rate * slopes.at('consensus.change.leader_bytes', size),
        rate * slopes.at('consensus.change.apply', size),
    )


def _process(slopes: Figures) -> Part:
    return Part(
        'process with the document in force',
        'daemon, configuration.compiling',
        memory=slopes.at('callpath.resident', letter.CUSTOMERS),
    )


def _connections(slopes: Figures) -> Part:
    count = letter.HOSTS_IN_DOMAIN - 1 + _OTHERS
    return Part(
        f'connections to {count} peers',
        'wire.link, wire.connection',
        memory=count * slopes.largest('wire.connection'),
    )


def _domain(slopes: Figures) -> Part:
    sent = slopes.at('leases.messages', _ANNOUNCED)
    logic = slopes.at('leases.processor', _ANNOUNCED)
    return Part(
        'heartbeats, leases, summaries in the domain',
        'membership.heartbeats, sharing, pools',
        sent,
        slopes.at('leases.ordinary_sent', _ANNOUNCED),
        logic + sent * _sending(slopes),
        slopes.at('membership.memory', letter.HOSTS),
    )


def _announcements(slopes: Figures) -> Part:
    each = slopes.at('announcing.announcement', letter.SERVERS_IN_DOMAIN)
    return Part(
        'announcements of backend servers (HTTP, bytes not counted)',
        'daemon.announcements, membership.servers',
        _ANNOUNCED,
        processor=_ANNOUNCED * each,
    )


def _following(slopes: Figures) -> Part:
    sent = slopes.largest('configuring.follow_messages')
    return Part(
        'following the log, idle',
        'configuration.following',
        sent,
        slopes.largest('configuring.follow_bytes'),
        sent * _sending(slopes),
    )


def _between_domains(slopes: Figures) -> Part:
    sent = _of_delegates(slopes, 'messages')
    logic = sent * _handling(slopes)
    return Part(
        'digests and summaries between domains',
        'membership.outside, digests, pools',
        sent,
        _for_others(slopes, 'busiest_sent'),
        logic + sent * _sending(slopes),
    )


def _of_delegates(slopes: Figures, cost: str) -> float:
    """Lay what all hosts of a domain pay more on its delegates."""
    share = letter.HOSTS_IN_DOMAIN / _DELEGATES
    return _for_others(slopes, cost) * share


def _handling(slopes: Figures) -> float:
    """Give the processor time of a message between domains, but for TCP.

    Taken from one and many small domains, as the difference of large ones
    is lost in noise once it is carried on to all delegates.
    """
    many = letter.DOMAINS
    messages = slopes.at('domains.messages', many) - slopes.at(
        'domains.messages',
        1,
    )
    used = slopes.at('domains.processor', many) - slopes.at(
        'domains.processor',
        1,
    )
    return used / messages if messages else 0


def _for_others(slopes: Figures, cost: str) -> float:
    size = letter.HOSTS_IN_DOMAIN
    four = slopes.at(f'delegates.four.{cost}', size)
    one = slopes.at(f'delegates.one.{cost}', size)
    return max(four - one, 0) / (_MEASURED_DOMAINS - 1) * _OTHERS


def _heard(slopes: Figures) -> Part:
    sent = _idle(slopes, 'follower_messages')
    logic = _idle(slopes, 'processor') / 2 / _FOLLOWERS
    return Part(
        "hearing the log's leader",
        'consensus.following, voting',
        sent,
        _idle(slopes, 'follower_bytes'),
        logic + sent * _sending(slopes),
    )


def _led(slopes: Figures) -> Part:
    # Half of all messages are the leader's.
    sent = _idle(slopes, 'leader_messages')
    logic = _idle(slopes, 'processor') / 2
    return Part(
        'heartbeats to the other recorders',
        'consensus.leading, replication',
        sent,
        _idle(slopes, 'leader_bytes'),
        logic + sent * _sending(slopes),
    )


def _recorded(slopes: Figures) -> list[Part]:
    return [_kept(slopes), _log_kept(slopes)]


def _kept(slopes: Figures) -> Part:
    versions = slopes.at('consensus.change.snapshot', letter.CUSTOMERS)
    claims = slopes.largest('configuring.claim_memory') * _CLAIMS_KEPT
    return Part(
        '100 versions, and claims at their bound',
        'configuration.changes, claimtable',
        processor=letter.CHANGES
        * slopes.at('consensus.change.apply', letter.CUSTOMERS),
        memory=versions + claims,
    )


def _log_kept(slopes: Figures) -> Part:
    """Give the most that the log keeps, and the snapshot that ends it.

    While a snapshot is written, one more change may come, and the one before
    is kept as well.
    """
    cfg = settings.Settings(ids.HostId(''))
    each = slopes.at('consensus.change.disk_bytes', letter.CUSTOMERS)
    versions = slopes.at('consensus.change.snapshot', letter.CUSTOMERS)
    claims = slopes.largest('configuring.claim_snapshot') * _CLAIMS_KEPT
    log = cfg.snapshot_bytes + cfg.trailing_bytes + 2 * each
    return Part(
        'log entries, and two snapshots while one is written',
        'store.log, consensus.applying',
        memory=log + 2 * (versions + claims),
    )


def _idle(slopes: Figures, cost: str) -> float:
    return slopes.at(f'consensus.idle.{cost}', letter.RECORDERS)


def _sending(slopes: Figures) -> float:
    """Give the cost of a message, and of one received for it."""
    return slopes.smallest('wire.send')
