"""The root of every error, and the refusal a caller gets.

Each layer derives its own errors from :class:`GeraniumweirError` and turns
those of the layer below into its own. A code is unique in the catalogue,
docs/ERRORS.md: GW-1xxx callers and configuration, GW-2xxx scheduling, GW-3xxx
backend servers, GW-4xxx peers, GW-5xxx store and consensus, GW-6xxx
membership, GW-7xxx claims.
"""

import dataclasses
import typing

from geraniumweir.common import ids


class GeraniumweirError(Exception):
    """An error with a code from the catalogue.

    >>> str(GeraniumweirError('no peer answered'))
    'GW-0000: no peer answered'
    """

    code: typing.ClassVar[str] = 'GW-0000'

    def __init__(self, message: str) -> None:
        """Keep the message.

        :param message: what went wrong, with the values that show it.
        """
        super().__init__(message)
        self.message = message

    def __str__(self) -> str:
        """Show the code before the message."""
        return f'{self.code}: {self.message}'


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """What a caller is told when its call gets no whole answer.

    :ivar status: the HTTP status.
    :ivar code: the code in docs/ERRORS.md.
    :ivar kind: a word for programs, such as ``shed``.
    :ivar message: a sentence for people.
    :ivar ran: whether the call can have reached a backend server.
    :ivar retry_after_ms: when to come back, in milliseconds, or None where a
        repeat can't help.
    """

    status: int
    code: str
    kind: str
    message: str
    ran: ids.Ran
    retry_after_ms: int | None = None

    def as_json(self) -> dict[str, typing.Any]:
        """Give the body of the answer.

        >>> refusal = Refusal(429, 'GW-2101', 'shed', 'full', ids.Ran.no, 200)
        >>> refusal.as_json()['error']['ran']
        'no'
        """
        body: dict[str, typing.Any] = {
            'code': self.code,
            'type': self.kind,
            'message': self.message,
            'ran': self.ran.value,
        }
        if self.retry_after_ms is not None:
            body['retry_after_ms'] = self.retry_after_ms
        return {'error': body}


class Refused(GeraniumweirError):
    """A call that ends with a refusal."""

    code = 'GW-1000'

    def __init__(self, refusal: Refusal) -> None:
        """Keep the refusal for the answer.

        :param refusal: what the caller is told.
        """
        super().__init__(refusal.message)
        self.refusal = refusal
