"""What days of failures cost, from the same slopes."""

from geraniumweir.fakes.capacity import control, datapath, letter, parts
from geraniumweir.fakes.capacity.figures import Figures

# A change goes from recorder to first host of a domain to the others.
_HOPS = 3
_MINUTE = 60
_PERCENT = 100

Row = tuple[str, str, str]


def rows(slopes: Figures) -> list[Row]:
    """Give each event, what it comes to, and the mechanism."""
    return [
        _hosts_lost(),
        _restarts(slopes),
        _domain_lost_load(slopes),
        _domain_lost_capacity(),
        _leaders_after_domain(slopes),
        _region_apart(slopes),
        _burst_hosts(slopes),
        _burst_leader(slopes),
        _in_force(slopes),
    ]


def _hosts_lost() -> Row:
    streams = letter.OPEN_STREAMS / letter.HOSTS
    lost = streams * letter.HOSTS_LOST_A_DAY
    share = lost / letter.REQUESTS / letter.DAY_SECONDS * _PERCENT
    return (
        f'{letter.HOSTS_LOST_A_DAY} hosts lost in a day, at the peak',
        f'{streams:.0f} streams each, {lost:,.0f} in all: '
        f'{share:.4f}% of a day of peak requests',
        'membership.heartbeats (detection), scheduling.led (grants back)',
    )


def _restarts(slopes: Figures) -> Row:
    size = slopes.at('configuring.document', letter.CUSTOMERS)
    whole = size * letter.RESTARTS_A_DAY / letter.DAY_SECONDS
    return (
        f'{letter.RESTARTS_A_DAY} restarts in a day',
        f'a document of {size / 1000:.0f} KB (sent compressed) each: at most '
        f'{whole:.0f} B/s over all hosts',
        'daemon.draining, configuration.holding, membership.seeds',
    )


def _domain_lost_load(slopes: Figures) -> Row:
    left = letter.HOSTS - letter.HOSTS_IN_DOMAIN
    before = parts.total(datapath.entry_host(slopes))
    after = parts.total(datapath.entry_host(slopes, left))
    return (
        'a failure domain lost at the peak: each host left',
        f'{letter.REQUESTS / left:.2f} requests/s and '
        f'{letter.TOKENS / left:,.0f} tokens/s (before: '
        f'{letter.REQUESTS / letter.HOSTS:.2f} and '
        f'{letter.TOKENS / letter.HOSTS:,.0f}); data path '
        f'{after.processor:.2f} of a core (before: {before.processor:.2f})',
        "the platform's balancer, daemon.callers",
    )


def _domain_lost_capacity() -> Row:
    left = letter.DOMAINS - 1
    over = letter.TOKENS / letter.SERVERS * letter.DOMAINS / left
    return (
        'the same: each backend server left',
        f'{left}/{letter.DOMAINS} of the capacity; to lose nothing it must '
        f'make {over:.0f} tokens/s (before: '
        f'{letter.TOKENS / letter.SERVERS:.0f}); what does not fit is shed, '
        'lowest tier first',
        'scheduling.spill, shedding',
    )


def _leaders_after_domain(slopes: Figures) -> Row:
    left = letter.DOMAINS - 1
    before = parts.total(datapath.pool_leader(slopes))
    after = parts.total(datapath.pool_leader(slopes, left))
    return (
        'the same: each pool leader left',
        f'{letter.REQUESTS / left:.0f} asks/s, {after.processor:.2f} of a '
        f'core (before: {before.processor:.2f}), of it '
        f'{_share_of_progress(slopes, left):.2f} for progress',
        'scheduling.remote',
    )


def _share_of_progress(slopes: Figures, domains: int) -> float:
    streams = letter.OPEN_STREAMS / domains
    told = streams * datapath.PROGRESS_RATE
    return told * slopes.smallest('wire.send') / 2


def _region_apart(slopes: Figures) -> Row:
    size = slopes.at('configuring.document', letter.CUSTOMERS)
    share = (letter.REGIONS - 1) / letter.REGIONS
    missed = letter.CHANGES * _MINUTE * 10
    return (
        'regions apart for ten minutes',
        'a majority of recorders goes on; the region without one serves by '
        f'its last version and takes up {missed:.0f} missed changes as one, '
        f'a document of {size / 1000:.0f} KB at most; {share:.0%} of the '
        'capacity stays in reach of the others',
        'configuration.following, consensus.voting',
    )


def _burst_hosts(slopes: Figures) -> Row:
    part = control.changes(slopes, letter.BURST_CHANGES)
    return (
        'a change a second for a minute: each host',
        f'{part.processor:.3f} of a core (limit {letter.PROCESSOR}), '
        f'{part.octets:.0f} B/s' + _verdict(part.processor, letter.PROCESSOR),
        part.module,
    )


def _burst_leader(slopes: Figures) -> Row:
    part = control.proposals(slopes, letter.BURST_CHANGES)
    return (
        "the same: the log's leader",
        f'{part.octets / 1000:,.0f} KB/s (limit '
        f'{letter.BYTES / 1000:.0f})' + _verdict(part.octets, letter.BYTES),
        part.module,
    )


def _in_force(slopes: Figures) -> Row:
    reading = control.changes(slopes, 1).processor
    longest = slopes.largest('configuring.change_delay')
    needed = longest + _HOPS * reading
    return (
        'a change in force everywhere, nothing lost',
        f'{longest:.3f} s of links of 0.5 ms, and {_HOPS} readings one after '
        f'the other of {reading:.2f} s on an idle core: {needed:.2f} s of '
        f'{letter.IN_FORCE_SECONDS}'
        + _verdict(needed, letter.IN_FORCE_SECONDS),
        'configuration.following, sources',
    )


def _verdict(cost: float, limit: float) -> str:
    return ': met' if cost <= limit else ': **missed**'
