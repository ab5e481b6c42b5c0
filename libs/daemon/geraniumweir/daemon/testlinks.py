"""Cuts links to other entry hosts, for tests of network partitions.

Available only with ``--test-links``. ``PUT /v1/test/links`` with ``{"cut":
["host", ...]}`` drops all frames to and from these hosts; the links to all
others are restored.
"""

import functools
import json

from aiohttp import web
from geraniumweir.common import ids
from geraniumweir.wire import tcp

PATH = '/v1/test/links'


def add_routes(app: web.Application, layer: tcp.TcpPeers) -> None:
    """Add the route that cuts the links of one host.

    :param app: the HTTP application for operators.
    """
    app.router.add_put(PATH, functools.partial(_cut, layer))


async def _cut(layer: tcp.TcpPeers, req: web.Request) -> web.Response:
    named = json.loads(await req.read())['cut']
    layer.heal()
    for host_id in named:
        layer.cut(ids.HostId(host_id))
    return web.json_response({'cut': named})
