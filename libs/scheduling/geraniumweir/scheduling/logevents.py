"""Events of the scheduling library, numbers 201 to 299."""

from geraniumweir.common import logevents

LEADERSHIP_STARTED = logevents.Event(
    241,
    logevents.Level.info,
    'this host started leading pool {pool}',
)
TAKEOVER_COMPLETE = logevents.Event(
    242,
    logevents.Level.info,
    'takeover of pool {pool} complete: {grants} open grants, {silent} hosts '
    'did not answer',
)
LEADERSHIP_ENDED = logevents.Event(
    243,
    logevents.Level.info,
    'this host stopped leading pool {pool}',
)
OWNER_SILENT = logevents.Event(
    244,
    logevents.Level.warning,
    'entry host {owner} is silent; its {count} requests are removed',
)
POOL_BUSY = logevents.Event(
    246,
    logevents.Level.info,
    'pool {pool}: {waiting} requests waiting, {running} running, '
    'a slot is released every {interval_ms} ms',
)
SERVER_COOLDOWN = logevents.Event(
    247,
    logevents.Level.info,
    'server {server} of pool {pool} in cooldown for {seconds} s: {cause}',
)
STRAY_GRANT = logevents.Event(
    245,
    logevents.Level.notice,
    'grant of {request} from {leader} arrived too late and was released',
)
LIMIT_SET = logevents.Event(
    248,
    logevents.Level.notice,
    'server {server} limits all hosts to {per_second} requests per second',
)
LIMIT_LIFTED = logevents.Event(
    249,
    logevents.Level.notice,
    'server {server} lifted its request limit',
)
SERVER_LEAVING = logevents.Event(
    250,
    logevents.Level.notice,
    'server {server} announced its shutdown in an answer to {told}',
)
SERVER_PAUSED = logevents.Event(
    251,
    logevents.Level.info,
    'server {server} asked {asked} to pause for {seconds} s',
)
REJECTION_LIMIT = logevents.Event(
    254,
    logevents.Level.notice,
    'server {server} bears {per_second} rejections per second from all hosts',
)
RETRY_DENIED = logevents.Event(
    252,
    logevents.Level.info,
    'retry of {request} denied: pool {pool} has used {used} of {allowed} '
    'retries',
)
PART_REFUSED = logevents.Event(
    255,
    logevents.Level.warning,
    'requests with prompt part {part} are refused: it explains {crashes} '
    'crashes of servers, most lately of pool {pool}',
)
PART_CLEARED = logevents.Event(
    256,
    logevents.Level.notice,
    'requests with prompt part {part} are no longer refused: a server of pool '
    '{pool} answered one',
)
CONTENT_QUARANTINED = logevents.Event(
    253,
    logevents.Level.warning,
    'requests with content {content} quarantined for {seconds} s: '
    'servers crashed while running them, most recently {server}',
)
THREAD_FULL = logevents.Event(
    257,
    logevents.Level.warning,
    '{count} slot requests denied as the thread of this host is full; {waiting}'
    ' wait for a turn',
)
