"""Limits on the announcements of backend servers.

They bound memory and the size of messages against invalid announcements; a
correct server stays far below all of them.
"""

from geraniumweir.membership import errors, servers

MAX_NAME_CHARACTERS = 128
MAX_NAMES = 256
MAX_COUNT = 0x10000000000
MAX_INCARNATION = 0x7FFFFFFFFFFFFFFF
MAX_SLOTS = 65_536
KINDS = frozenset(('engine', 'service'))


def check(announcement: servers.Announcement) -> None:
    """Check an announcement against the limits.

    :raises errors.AnnouncementError: names the field and the limit.
    """
    _check_names(announcement)
    if announcement.kind not in KINDS:
        _reject('kind', f'{announcement.kind!r} is none of engine, service')
    if announcement.address.port == 0:
        _reject('address', 'the port is 0')
    _check_number('incarnation', announcement.incarnation, 0, MAX_INCARNATION)
    _check_number('slots', announcement.slots, 1, MAX_SLOTS)
    _check_number('kv_tokens', announcement.kv_tokens, 0, MAX_COUNT)
    _check_number('max_context', announcement.max_context, 0, MAX_COUNT)


def _check_names(announcement: servers.Announcement) -> None:
    for field in ('server_id', 'pool', 'failure_domain'):
        _check_name(field, getattr(announcement, field), lower=1)
    _check_name('hardware', announcement.hardware, lower=0)
    for field in ('models', 'adapters'):
        names = getattr(announcement, field)
        if len(names) > MAX_NAMES:
            _reject(field, f'{len(names)} names; at most {MAX_NAMES}')
        for name in names:
            _check_name(field, name, lower=1)


def _check_name(field: str, name: object, *, lower: int) -> None:
    if not isinstance(name, str):
        _reject(field, 'not a string')
    elif not lower <= len(name) <= MAX_NAME_CHARACTERS:
        _reject(
            field,
            f'{len(name)} characters; from {lower} to {MAX_NAME_CHARACTERS}',
        )


def _check_number(field: str, number: int, lower: int, upper: int) -> None:
    if not lower <= number <= upper:
        _reject(field, f'{number} is not from {lower} to {upper}')


def _reject(field: str, reason: str) -> None:
    raise errors.AnnouncementError(f'the field {field!r}: {reason}')
