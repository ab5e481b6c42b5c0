"""Edits the override of one backend server in a configuration document.

The document is the operators' own text with their comments and order, so a
drain changes only the lines that it must. The result is parsed again and
compared; an edit that would change anything else is refused.
"""

import dataclasses
import json
import re
import tomllib

from geraniumweir.common import ids
from geraniumweir.configuration import document, errors, reading
from geraniumweir.daemon import operations

_HEADER = re.compile(r'^\s*\[', re.MULTILINE)
_SERVER = re.compile(r'^\s*\[\[\s*server\s*\]\]', re.MULTILINE)
_DRAIN = re.compile(r'^\s*drain\s*=.*\n?', re.MULTILINE)


def with_drain(text: str, server_id: ids.ServerId, drain: bool) -> str:
    """Return a document that drains a backend server, or ends its drain.

    :param text: the document in force, TOML.
    :param drain: whether the server is to be drained.
    :raises operations.NotNowError: when the text can't be edited without
        changing its other content.

    >>> print(with_drain('', ids.ServerId('advisor-3'), drain=True))
    [[server]]
    id = "advisor-3"
    drain = true
    <BLANKLINE>
    """
    before = reading.read(text)
    if before.override(server_id).drain is drain:
        return text
    try:
        edited = _edit(text, server_id, drain)
        after = reading.read(edited)
    except (tomllib.TOMLDecodeError, errors.DocumentError) as exc:
        raise _unsafe(server_id) from exc
    if after != _wanted(before, server_id, drain):
        raise _unsafe(server_id)
    return edited


def _unsafe(server_id: ids.ServerId) -> operations.NotNowError:
    return operations.NotNowError(
        f'the entry of {server_id!r} can not be edited safely; change the '
        'file and apply it',
    )


def _edit(text: str, server_id: ids.ServerId, drain: bool) -> str:
    line = f'drain = {json.dumps(drain)}\n'
    for head in _SERVER.finditer(text):
        following = _HEADER.search(text, head.end())
        end = following.start() if following else len(text)
        block = text[head.end() : end]
        if tomllib.loads(block).get('id') != server_id:
            continue
        kept = _DRAIN.sub('', block).rstrip()
        rest = text[end:]
        gap = '\n' if rest else ''
        return f'{text[: head.end()]}{kept}\n{line}{gap}{rest}'
    entry = f'[[server]]\nid = {json.dumps(server_id)}\n{line}'
    if not text.strip():
        return entry
    return f'{text.rstrip()}\n\n{entry}'


def _wanted(
    before: document.Document,
    server_id: ids.ServerId,
    drain: bool,
) -> document.Document:
    old = before.override(server_id)
    new = dataclasses.replace(old, drain=drain)
    listed = any(server.server_id == server_id for server in before.servers)
    kept = tuple(
        new if server.server_id == server_id else server
        for server in before.servers
    )
    return dataclasses.replace(before, servers=kept if listed else (*kept, new))
