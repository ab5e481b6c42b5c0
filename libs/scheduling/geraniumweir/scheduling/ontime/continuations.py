"""Servers for begun streams, which go on at the version that began them.

See Also
========
geraniumweir.scheduling.stream_origins
"""

from geraniumweir.common import ids
from geraniumweir.scheduling.ontime import placing, records, state


def servers(
    leader: state.OnTimeLeaderState,
    version: ids.SoftwareVersion,
) -> list[records.Server]:
    """List the servers on which streams of a version may go on.

    Servers of an old version stay open for them until a rollout is completed.
    Those of a new version have to be allowed by its controller: a request that
    comes again counts as one more that the version gets.
    """
    guide = leader.guide
    is_new = guide.is_running and version == guide.target_version
    if is_new and not guide.may_continue_at_new_version():
        return []
    return [
        server
        for server in leader.servers.values()
        if server.live and server.version == version
    ]


def choose(
    offers: list[placing.Offer],
    waiting: records.Waiting,
    estimates: placing.Estimates,
) -> placing.Placement | None:
    """Choose the server on which a begun stream goes on.

    No other version can serve it, so a late event is better than none.
    """
    return (
        placing.choose_on_time(offers, waiting, estimates)
        or placing.choose_earliest(offers, waiting, estimates)
        or placing.choose_shortest(offers, waiting)
    )
