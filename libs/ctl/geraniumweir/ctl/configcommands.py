"""Commands on the configuration."""

import argparse
import asyncio
import json
import pathlib
import sys
import typing
import uuid

from geraniumweir.common import ids
from geraniumweir.configuration import document, explain, reading
from geraniumweir.ctl import client, errors, output

_POLL_SECONDS = 0.2
_LIVE = 'live'
_NO_DOMAIN = ids.FailureDomain('')


async def check(opts: argparse.Namespace) -> None:
    """Check a file without any host."""
    checked = reading.check(_text(opts.file))
    warnings = [str(warning) for warning in checked.warnings]
    match opts.output:
        case output.Form.json:
            rules = len(checked.document.rules)
            output.document({'rules': rules, 'warnings': warnings})
        case output.Form.table:
            _warn(warnings)
            count = len(checked.document.rules)
            output.line(f'{opts.file}: {count} rules, no fault')


async def apply(opts: argparse.Namespace) -> None:
    """Put a file in force."""
    change = {
        'base': opts.base,
        'change_id': opts.change_id or uuid.uuid4().hex,
        'document': _text(opts.file),
    }
    # Faults are told with their lines before any host is asked.
    reading.check(change['document'])
    async with client.opened(opts.operator_address, opts.timeout) as conn:
        ask = client.Ask('PUT', '/v1/config', change)
        accepted = await conn.ask(ask)
        if opts.wait:
            await _wait_for(conn, int(accepted['version']), opts.timeout)
    match opts.output:
        case output.Form.json:
            output.document(accepted)
        case output.Form.table:
            _warn(accepted.get('warnings', ()))
            output.line(f'version {accepted["version"]}')


async def show(opts: argparse.Namespace) -> None:
    """Print a version as it was applied."""
    query = {}
    if opts.version is not None:
        query['version'] = str(opts.version)
    async with client.opened(opts.operator_address, opts.timeout) as conn:
        in_force = await conn.get('/v1/config', **query)
    match opts.output:
        case output.Form.json:
            output.document(in_force)
        case output.Form.table:
            output.line(f'# version {in_force["version"]}')
            output.line(in_force['document'].rstrip())


async def diff(opts: argparse.Namespace) -> None:
    """Print what changed from one version to another."""
    query = {'from': str(opts.older), 'to': str(opts.newer)}
    async with client.opened(opts.operator_address, opts.timeout) as conn:
        answer = await conn.get('/v1/diff', **query)
    match opts.output:
        case output.Form.json:
            output.document(answer)
        case output.Form.table:
            for line in answer['lines']:
                output.line(line)


async def history(opts: argparse.Namespace) -> None:
    """List the accepted changes."""
    async with client.opened(opts.operator_address, opts.timeout) as conn:
        rows = (await conn.get('/v1/history'))['history']
    if opts.output is output.Form.table:
        rows = [{**row, 'at': output.moment(row['at'])} for row in rows]
    output.rows(opts.output, 'history', rows)


async def explain_request(opts: argparse.Namespace) -> None:
    """Tell which rule decides a request, and why."""
    request = _request(opts.request)
    if opts.file is None:
        address = opts.operator_address
        async with client.opened(address, opts.timeout) as conn:
            explained = await conn.post('/v1/explain', request)
    else:
        doc = reading.check(_text(opts.file)).document
        in_force = document.InForce(document.NO_VERSION, doc)
        facts = explain.facts_from_json(request, _NO_DOMAIN)
        explained = explain.explain(in_force, facts).as_json()
    match opts.output:
        case output.Form.json:
            output.document(explained)
        case output.Form.table:
            _print_explained(explained)
            _warn(_unknown_customer(explained, request.get('customer')))


def _print_explained(explained: client.Json) -> None:
    for passed in explained['passed']:
        output.line(
            f'passed: rule {passed["rule"]!r}, {passed["field"]} wants '
            f'{output.cell(passed["wanted"])}, got '
            f'{output.cell(passed["got"])}',
        )
    if explained['rule'] is None:
        output.line('decides: no rule matches; refused with 404, ran: no')
        return
    output.line(f'decides: rule {explained["rule"]!r}')
    said = explained['then'].items()
    output.line(
        ', '.join(
            f'{key} = {output.cell(field)}'
            for key, field in said
            if field is not None
        ),
    )


def _unknown_customer(
    explained: client.Json,
    customer: typing.Any,
) -> typing.Iterator[str]:
    if customer and not explained.get('customer_known', True):
        yield f'{customer!r} is no customer: its calls get 401, GW-1102'


async def _wait_for(
    conn: client.Client,
    version: int,
    seconds: float,
) -> None:
    """Wait until every live host has a version in force."""
    behind: list[str] = []
    try:
        async with asyncio.timeout(seconds):
            while True:
                behind = _behind(await conn.get('/v1/hosts'), version)
                if not behind:
                    return
                await asyncio.sleep(_POLL_SECONDS)
    except TimeoutError:
        names = ', '.join(behind)
        raise errors.FailedError(
            f'version {version} is accepted, but not in force on {names}',
        ) from None


def _behind(answer: client.Json, version: int) -> list[str]:
    return [
        row['host_id']
        for row in answer['hosts']
        if row['state'] == _LIVE and row['version'] < version
    ]


def _request(path: str) -> client.Json:
    try:
        request = json.loads(_text(path))
    except ValueError as exc:
        raise errors.FailedError(f'{path}: not JSON: {exc}') from exc
    if not isinstance(request, dict):
        raise errors.FailedError(f'{path}: not a JSON object')
    return request


def _text(path: str) -> str:
    """Read a file; a hyphen is standard input."""
    if path == '-':
        return sys.stdin.read()
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except UnicodeDecodeError as exc:
        raise errors.FailedError(f'{path}: not UTF-8: {exc}') from exc


def _warn(warnings: typing.Iterable[str]) -> None:
    for warning in warnings:
        output.warn(f'warning: {warning}')
