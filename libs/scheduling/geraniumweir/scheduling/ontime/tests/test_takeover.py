"""A new leader of a pool whose traffic has moved to a new version."""

import dataclasses

from geraniumweir.common import ids
from geraniumweir.rollout import controller, orders
from geraniumweir.scheduling import requests, settings
from geraniumweir.scheduling.ontime import leader
from geraniumweir.scheduling.ontime.tests import play

_OLD = ids.SoftwareVersion('v1')
_NEW = ids.SoftwareVersion('v2')
_ORDER = controller.ObservedOrder(
    orders.Rollout(play.POOL, 1, _NEW, 12, phase=orders.Phase.moved), 0
)


def test_requests_on_barred_servers_count_as_running() -> None:
    """The servers of the old version get none and aren't listed any more."""
    old = dataclasses.replace(play.server('old'), version=_OLD)
    new = dataclasses.replace(play.server('new'), version=_NEW)
    some = leader.OnTimePoolLeader(
        settings.LeaderSettings(play.POOL),
        float,
        lambda: [old, new],
        controller.RolloutController(lambda: _ORDER, float),
    )
    ask = play.make_request('r', 0)
    grant = requests.Grant(
        ask.request_id, old.server_id, old.incarnation, old.address, _OLD
    )
    some.adopt([requests.OpenGrant(ask, grant, age=1)])
    assert some.rollout_load().old_running == 1
    done = requests.Outcome.done
    some.release(requests.Release(ask.request_id, done))
    assert some.rollout_load().old_running == 0
