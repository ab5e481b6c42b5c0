"""Headers of the callers and servers of the testbed."""

import json
import typing

import multidict
from aiohttp import web
from geraniumweir.common import errors
from geraniumweir.gateway import codec
from geraniumweir.scheduling import notices


class PlainCodec:
    """Minimal implementation of the gateway's codec."""

    def read_request(self, req: web.BaseRequest) -> codec.Request:
        head = multidict.CIMultiDict(req.headers)
        head.pop('Content-Length', None)
        last = req.headers.get('Last-Event-Id')
        patience = req.headers.get('Patience')
        return codec.Request(
            request_id=req.headers.get('Id', ''),
            method=req.method,
            host='host',
            target=req.raw_path,
            path=req.path,
            key=req.headers.get('Key', ''),
            patience=float(patience) if patience else None,
            generation=(
                codec.Generation() if 'Generates' in req.headers else None
            ),
            last_event=int(last) if last else None,
            headers=head,
            resumes=req.headers.get('Resumes', ''),
        )

    def dispatch_headers(
        self,
        call: codec.Request,
        dispatch: codec.Dispatch,
    ) -> codec.Headers:
        head = call.headers.copy()
        if dispatch.last_event is not None:
            head['Last-Event-Id'] = str(dispatch.last_event)
        return head

    def request_id(self, headers: typing.Mapping[str, str]) -> str:
        return headers.get('Id', '')

    def read_response_head(
        self,
        status: int,
        headers: typing.Mapping[str, str],
    ) -> codec.ResponseHead:
        kept = multidict.CIMultiDict(
            (name, text)
            for name, text in headers.items()
            if name in {'Signed', 'Id', 'Content-Type'}
        )
        return codec.ResponseHead(
            status,
            headers.get('Id', ''),
            'Not-Run' in headers,
            'Signed' in headers,
            'Content-Encoding' in headers,
            headers.get('Content-Type') == 'text/event-stream',
            kept,
            tuple(_read_notices(headers)),
        )

    def refusal(
        self,
        _call_id: str,
        refusal: errors.Refusal,
    ) -> web.Response:
        return web.Response(
            status=refusal.status,
            text=json.dumps(refusal.as_json()),
        )


def _read_notices(
    headers: typing.Mapping[str, str],
) -> typing.Iterator[notices.Content | notices.Unreadable]:
    unread = headers.get('Unread')
    limit = headers.get('Limit')
    pause = headers.get('Pause')
    if unread:
        yield notices.Unreadable(unread)
    elif limit:
        yield notices.RateLimit(float(limit))
    if 'Leaving' in headers:
        yield notices.Leaving()
    if pause:
        yield notices.Pause(float(pause))
