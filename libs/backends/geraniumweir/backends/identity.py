"""Whose answer is it? Checks the ids that engines put into their answers.

An engine is called with ``X-Request-Id``. Many put it into the ``id`` of their
answers, as it is or with a prefix; some make up an id of their own. So three
things are checked: an id of our own form must be that of this request; a pool
that once echoed our ids must go on doing so; and the id must not change within
an answer.
"""

import re

from geraniumweir.backends import errors
from geraniumweir.common import ids

REQUEST_PREFIX = 'gw-'
_OURS = re.compile('gw-[0-9a-f]{32}')


class Echoes:
    """The pools whose engines put our request id into their answers."""

    def __init__(self) -> None:
        """Start with none."""
        self._pools: set[ids.PoolName] = set()

    def add(self, pool: ids.PoolName) -> None:
        """Remember a pool that echoes."""
        self._pools.add(pool)

    def __contains__(self, pool: ids.PoolName) -> bool:
        """Tell whether a pool echoes."""
        return pool in self._pools


class Identity:
    """Checks the ids of one answer.

    >>> identity = Identity(ids.RequestId('r1'), ids.PoolName('p'), Echoes())
    >>> identity.check('chatcmpl-r1')
    >>> identity.check('chatcmpl-r2')
    Traceback (most recent call last):
    ...
    geraniumweir.backends.errors.ForeignAnswerError: GW-3105: an answer \
with the id 'chatcmpl-r2' came for request r1
    """

    def __init__(
        self,
        request_id: ids.RequestId,
        pool: ids.PoolName,
        echoes: Echoes,
    ) -> None:
        """Expect answers to one request.

        :param echoes: shared by all calls of the process.
        """
        self._request_id = request_id
        self._pool = pool
        self._echoes = echoes
        self._first: str | None = None

    def check(self, answer_id: str | None) -> None:
        """Check one id; None, where there is none, is nobody's.

        :raises errors.ForeignAnswerError: when it is another request's.
        """
        if answer_id is None or answer_id == self._first:
            return
        if self._first is not None:
            raise self._foreign(answer_id)
        if self._request_id in answer_id:
            self._echoes.add(self._pool)
        elif self._pool in self._echoes or _OURS.search(answer_id):
            raise self._foreign(answer_id)
        self._first = answer_id

    def check_header(self, answer_id: str | None) -> None:
        """Check ``X-Request-Id`` of an answer's head.

        Servers may put a number of their own there, but not one of ours that
        is another request's.
        """
        if answer_id is None or answer_id == self._request_id:
            return
        if _OURS.search(answer_id):
            raise self._foreign(answer_id)

    def _foreign(self, answer_id: str) -> errors.ForeignAnswerError:
        return errors.ForeignAnswerError(
            f'an answer with the id {answer_id!r} came for request '
            f'{self._request_id}',
        )
