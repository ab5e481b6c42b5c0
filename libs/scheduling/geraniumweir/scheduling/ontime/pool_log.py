"""Log entries on the state of a busy pool."""

from geraniumweir.common import eventlog
from geraniumweir.scheduling import logevents
from geraniumweir.scheduling.ontime import distance, state

# Minimum time between two entries.
_LOG_SECONDS = 1.0
# Routes in an entry, those with most callers.
_MAX_LOGGED_ROUTES = 8
# Names of customers in an entry.
_MAX_LOGGED_CUSTOMERS = 8
_MS = 1000


def log_state(leader: state.OnTimeLeaderState) -> None:
    """Log the state of a pool while requests wait, once a second at most."""
    now = leader.now()
    if not leader.waiting or now - leader.logged_at < _LOG_SECONDS:
        return
    leader.logged_at = now
    eventlog.emit(
        logevents.POOL_BUSY,
        pool=leader.pool,
        waiting=len(leader.waiting),
        running=len(leader.running),
        interval_ms=round(state.pace(leader).interval * _MS, 1),
        load=round(state.pace(leader).load, 2),
        classes=leader.shares.log_summary(),
        routes=leader.routes.log_summary(now, _MAX_LOGGED_ROUTES),
        above_share=leader.customer_shares.above(now)[:_MAX_LOGGED_CUSTOMERS],
        held_back=sum(
            one.is_rate_limited(now) for one in leader.servers.values()
        ),
        crossing=distance.count_crossing(leader.servers.values()),
        servers={
            server.server_id: server.log_summary(now)
            for server in leader.servers.values()
        },
    )
