"""Commands on hosts, backend servers, pools and recorders."""

import argparse
import uuid

from geraniumweir.ctl import client, output
from geraniumweir.observe import tracefile


async def hosts(opts: argparse.Namespace) -> None:
    """List the entry hosts."""
    await _list(opts, 'hosts')


async def servers(opts: argparse.Namespace) -> None:
    """List the backend servers of the answering host's failure domain."""
    await _list(opts, 'servers')


async def pools(opts: argparse.Namespace) -> None:
    """List the pools."""
    await _list(opts, 'pools')


async def recorders(opts: argparse.Namespace) -> None:
    """List the recorders."""
    await _list(opts, 'recorders')


async def status(opts: argparse.Namespace) -> None:
    """Tell how the answering host stands."""
    async with client.opened(opts.operator_address, opts.timeout) as conn:
        output.fields(opts.output, await conn.get('/v1/status'))


async def drain(opts: argparse.Namespace) -> None:
    """Give a backend server no new work, or end that."""
    path = f'/v1/servers/{opts.server}/drain'
    async with client.opened(opts.operator_address, opts.timeout) as conn:
        accepted = await conn.post(path, {'drain': not opts.undo})
    output.fields(opts.output, accepted)


async def order(opts: argparse.Namespace) -> None:
    """Order a backend server to load something or to change its role."""
    subject = opts.order.rpartition('_')[-1]
    payload = {
        'server': opts.server,
        'order': opts.order,
        subject: opts.subject,
        'version': opts.target_version,
        'order_id': opts.order_id or uuid.uuid4().hex,
    }
    async with client.opened(opts.operator_address, opts.timeout) as conn:
        output.fields(opts.output, await conn.post('/v1/orders', payload))


async def add_recorder(opts: argparse.Namespace) -> None:
    """Make an entry host a recorder."""
    payload = {'host_id': opts.host, 'address': str(opts.address)}
    async with client.opened(opts.operator_address, opts.timeout) as conn:
        answer = await conn.post('/v1/recorders', payload)
    output.rows(opts.output, 'recorders', answer['recorders'])


async def remove_recorder(opts: argparse.Namespace) -> None:
    """Take the role of recorder from an entry host."""
    ask = client.Ask('DELETE', f'/v1/recorders/{opts.host}')
    async with client.opened(opts.operator_address, opts.timeout) as conn:
        answer = await conn.ask(ask)
    output.rows(opts.output, 'recorders', answer['recorders'])


async def snapshot(opts: argparse.Namespace) -> None:
    """Write a snapshot of the recorder's state on the answering host."""
    async with client.opened(opts.operator_address, opts.timeout) as conn:
        output.fields(opts.output, await conn.post('/v1/snapshot', {}))


async def trace(opts: argparse.Namespace) -> None:
    """Print the spans of a request, from all hosts asked, as a tree."""
    ask = client.Ask('GET', f'/v1/trace/{opts.id}')
    async with client.opened(opts.operator_address, opts.timeout) as conn:
        answers = await conn.ask_all(ask)
    spans = [span for answer in answers for span in answer['spans']]
    match opts.output:
        case output.Form.json:
            output.document({'spans': spans})
        case output.Form.table:
            records = [tracefile.SpanRecord(**span) for span in spans]
            for line in tracefile.lines(tracefile.tree(records)):
                output.line(line)


async def _list(opts: argparse.Namespace, name: str) -> None:
    async with client.opened(opts.operator_address, opts.timeout) as conn:
        answer = await conn.get(f'/v1/{name}')
    output.rows(opts.output, name, answer[name])
