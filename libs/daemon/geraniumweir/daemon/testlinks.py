"""Cuts links to other entry hosts, so that tests can part failure domains.

Off unless the daemon was started with ``--test-links``. ``PUT
/v1/test/links`` with ``{"cut": ["host", ...]}`` loses all frames to and from
these hosts; the links to all others are whole again.
"""

import functools
import json

from aiohttp import web
from geraniumweir.common import ids
from geraniumweir.wire import tcp

PATH = '/v1/test/links'


def add_routes(app: web.Application, layer: tcp.TcpPeers) -> None:
    """Let operators cut the links of one host.

    :param app: the operators' application.
    """
    app.router.add_put(PATH, functools.partial(_cut, layer))


async def _cut(layer: tcp.TcpPeers, req: web.Request) -> web.Response:
    named = json.loads(await req.read())['cut']
    layer.heal()
    for host_id in named:
        layer.cut(ids.HostId(host_id))
    return web.json_response({'cut': named})
