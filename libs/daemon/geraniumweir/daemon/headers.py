"""Selects the headers that are forwarded to servers and to callers.

References
==========
.. [1] RFC 9110, "HTTP Semantics", section 7.6.1, "Connection".
.. [2] W3C, "Trace Context", https://www.w3.org/TR/trace-context/
"""

import typing

import multidict
from geraniumweir.common import ids

_TO_ENGINES = ('Content-Type', 'Accept', 'tracestate')
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'host',
        'content-length',
        'expect',
    ),
)
# The key in Authorization is a secret of the customer and this system.
_OWN_HEADERS = frozenset(
    (
        'authorization',
        'x-customer',
        'x-request-id',
        'x-ran',
        'x-pool',
        'x-tier',
        'x-config-version',
        'traceparent',
    ),
)
_FROM_ENGINES = ('Content-Type', 'Cache-Control')

_Headers = typing.Mapping[str, str]


def to_engine(
    headers: _Headers,
    request_id: ids.RequestId,
    traceparent: str | None,
) -> multidict.CIMultiDict[str]:
    """Return the headers of a request to an engine."""
    found = _select(headers, _TO_ENGINES)
    # A compressed response could not be checked.
    found['Accept-Encoding'] = 'identity'
    return _with_trace_headers(found, request_id, traceparent)


def to_service(
    headers: _Headers,
    customer: ids.CustomerName,
    request_id: ids.RequestId,
    traceparent: str | None,
) -> multidict.CIMultiDict[str]:
    """Return the headers of a request to a plain service.

    All but hop-by-hop headers and those of this system are forwarded.
    """
    found = _end_to_end(headers)
    found['X-Customer'] = customer
    return _with_trace_headers(found, request_id, traceparent)


def from_engine(headers: _Headers) -> multidict.CIMultiDict[str]:
    """Return the headers of an engine's response for the caller."""
    return _select(headers, _FROM_ENGINES)


def from_service(headers: _Headers) -> multidict.CIMultiDict[str]:
    """Return the headers of a service's response for the caller."""
    return _end_to_end(headers)


def _select(
    headers: _Headers,
    names: typing.Iterable[str],
) -> multidict.CIMultiDict[str]:
    found: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    for name in names:
        text = headers.get(name)
        if text is not None:
            found[name] = text
    return found


def _end_to_end(headers: _Headers) -> multidict.CIMultiDict[str]:
    named = headers.get('Connection', '').lower().split(',')
    excluded = _HOP_BY_HOP.union(_OWN_HEADERS, (name.strip() for name in named))
    found: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    for name, text in headers.items():
        if name.lower() not in excluded:
            found.add(name, text)
    return found


def _with_trace_headers(
    found: multidict.CIMultiDict[str],
    request_id: ids.RequestId,
    traceparent: str | None,
) -> multidict.CIMultiDict[str]:
    found['X-Request-Id'] = request_id
    if traceparent is not None:
        found['traceparent'] = traceparent
    return found
