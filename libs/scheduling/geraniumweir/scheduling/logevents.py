"""Events of the scheduling library, numbers 201 to 299."""

from geraniumweir.common import logevents

LEADERSHIP_STARTED = logevents.Event(
    241,
    logevents.Level.info,
    'this host now leads pool {pool}',
)
TAKEOVER_COMPLETE = logevents.Event(
    242,
    logevents.Level.info,
    'pool {pool} taken over with {grants} open grants; silent: {silent}',
)
LEADERSHIP_ENDED = logevents.Event(
    243,
    logevents.Level.info,
    'this host no longer leads pool {pool}',
)
OWNER_SILENT = logevents.Event(
    244,
    logevents.Level.warning,
    'nothing from entry host {owner}; its {count} requests are dropped',
)
POOL_BUSY = logevents.Event(
    246,
    logevents.Level.info,
    'pool {pool}: {waiting} wait, {running} run, a slot each {interval_ms} ms',
)
SERVER_COOLDOWN = logevents.Event(
    247,
    logevents.Level.info,
    'server {server} of pool {pool} gets nothing for {seconds} s: {cause}',
)
STRAY_GRANT = logevents.Event(
    245,
    logevents.Level.notice,
    'grant of {request} from {leader} came too late and was given back',
)
LIMIT_SET = logevents.Event(
    248,
    logevents.Level.notice,
    'server {server} takes {per_second} requests a second from all hosts',
)
LIMIT_LIFTED = logevents.Event(
    249,
    logevents.Level.notice,
    'server {server} names no limit any more',
)
SERVER_LEAVING = logevents.Event(
    250,
    logevents.Level.notice,
    'server {server} says in an answer to {told} that it leaves',
)
SERVER_PAUSED = logevents.Event(
    251,
    logevents.Level.info,
    'server {server} wants nothing from {asked} for {seconds} s',
)
RETRY_DENIED = logevents.Event(
    252,
    logevents.Level.info,
    'retry of {request} denied: {used} of {allowed} of pool {pool} are used',
)
CONTENT_QUARANTINED = logevents.Event(
    253,
    logevents.Level.warning,
    'requests with content {content} are refused for {seconds} s: '
    'servers ended under them, {server} last',
)
