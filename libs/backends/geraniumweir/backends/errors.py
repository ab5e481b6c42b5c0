"""Errors of calls to backend servers.

What matters to a caller is whether a byte of its call can have reached the
server, so each error says so; the end of every call that didn't give a whole
answer is one of these.
"""

import typing

from geraniumweir.common import errors, ids


class AnswerError(errors.GeraniumweirError):
    """A call that gave no whole answer.

    :cvar ran: whether a byte of the call can have reached the server.
    """

    code = 'GW-3100'
    ran: typing.ClassVar[ids.Ran] = ids.Ran.unknown


class NotSentError(AnswerError):
    """No connection could be made; no byte of the call was sent."""

    code = 'GW-3101'
    ran = ids.Ran.no


class BrokenError(AnswerError):
    """The connection broke before the answer's head came."""

    code = 'GW-3102'


class CutShortError(AnswerError):
    """The answer began and ended before it was whole."""

    code = 'GW-3103'
    ran = ids.Ran.yes


class GarbledError(AnswerError):
    """The answer is not what the server's protocol allows."""

    code = 'GW-3104'
    ran = ids.Ran.yes


class ForeignAnswerError(AnswerError):
    """The answer carries the id of another request."""

    code = 'GW-3105'


class ServerFailedError(AnswerError):
    """The server itself says that it failed."""

    code = 'GW-3106'
    ran = ids.Ran.yes


class TooLongError(AnswerError):
    """The answer is longer than what can be checked before it is given."""

    code = 'GW-3107'
    ran = ids.Ran.yes
