"""Sends requests to backend servers, through relays where the path is in doubt.

A relay is another entry host. It passes the request to the server that was
granted, once, and its response back as it comes. The owner of the request stays
its owner: the grant, the deadline, the counts and the decision about a retry
are the same as for a request that it sent itself. So is what an error says: a
relay that was not reached, or that says that it did not send the request,
proves that it didn't run; a relay whose response is missing does not.
"""

import dataclasses
import random
import typing

import aiohttp
import multidict
from geraniumweir.backends import calls
from geraniumweir.backends import errors as backend_errors
from geraniumweir.common import ids, timers
from geraniumweir.gateway import relay_protocol, server_paths, silence
from geraniumweir.observe import metricnames, metrics

# Relays that a request is offered to.
_MAX_OFFERS = 3
# A relay that declined a request or wasn't reached gets no others for this
# time: it may be cut off too.
_AVOID_SECONDS = 1.0


MakeCall = typing.Callable[[], calls.Call]


@dataclasses.dataclass(frozen=True, slots=True)
class Relays:
    """Addresses of the relays of this host.

    :ivar near: those in its own failure domain.
    """

    near: tuple[ids.Address, ...] = ()
    far: tuple[ids.Address, ...] = ()


class UnconfirmedError(backend_errors.NotSentError):
    """This host can't reach a server, and no other host confirms that."""

    code = 'GW-1703'


class _DeclinedError(backend_errors.NotSentError):
    """A relay was not reached, or did not try to send the request."""

    code = 'GW-1704'


class RequestSender:
    """Sender of requests to backend servers.

    :ivar paths: this host's paths to them.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        paths: server_paths.ServerPaths,
        relays: typing.Callable[[], Relays],
        meter: metrics.Metrics,
        clock: timers.TimerService,
    ) -> None:
        """Initialize without any relay to avoid.

        :param relays: returns the present relays.
        """
        self.paths = paths
        self._session = session
        self._relays = relays
        self._meter = meter
        self._clock = clock
        self._avoided: dict[ids.Address, float] = {}
        self._rng = random.Random()

    async def send(
        self,
        server_id: ids.ServerId,
        address: ids.Address,
        make_call: MakeCall,
        may_repeat: bool = False,
    ) -> calls.Answer:
        """Send a request and wait for the head of the response.

        :param make_call: returns the request as it is sent now.
        :param may_repeat: whether to give up while the server is silent, as
            the request may run again elsewhere. One that may not waits until
            the connection is lost: a sound server may be silent for a moment.
        :raises geraniumweir.backends.errors.NotSentError: if neither this host
            nor a relay sent it.
        :raises geraniumweir.backends.errors.BrokenError: if it was sent and no
            response came.
        """
        if self.paths.is_doubtful(address) and self._has_relays():
            answer = await self._send_in_doubt(server_id, make_call)
            if answer is not None:
                return answer
        try:
            return await self._send_directly(address, make_call(), may_repeat)
        except backend_errors.NotSentError as exc:
            if not self._has_relays():
                raise
            return await self._send_by_relay(server_id, make_call, exc)

    async def _send_in_doubt(
        self,
        server_id: ids.ServerId,
        make_call: MakeCall,
    ) -> calls.Answer | None:
        """Send through a relay.

        :returns: None if no relay could tell of the server, and this host's
            path to it is the only one in doubt.
        """
        try:
            return await self._send_by_relay(server_id, make_call, None)
        except UnconfirmedError:
            if self.paths.is_cut:
                raise
            return None

    def _has_relays(self) -> bool:
        relays = self._relays()
        return bool(relays.near or relays.far)

    async def _send_directly(
        self,
        address: ids.Address,
        call: calls.Call,
        may_repeat: bool,
    ) -> calls.Answer:
        watch = silence.SilenceWatch(self.paths, address, self._clock)
        try:
            async with watch.watching(may_repeat):
                answer = await calls.send(self._session, address, call)
        except TimeoutError as exc:
            raise backend_errors.BrokenError(f'{address} is silent') from exc
        except backend_errors.AnswerError:
            self.paths.record_failure(address)
            raise
        self.paths.record_success(address)
        return answer

    async def _send_by_relay(
        self,
        server_id: ids.ServerId,
        make_call: MakeCall,
        cause: backend_errors.NotSentError | None,
    ) -> calls.Answer:
        """Offer a request to relays until one sends it.

        :param cause: why this host couldn't send it, None if it didn't try.
        """
        for relay in self._candidates():
            call = make_call()
            call.headers[relay_protocol.SERVER] = server_id
            call.headers[relay_protocol.SENDING] = str(call.sending)
            try:
                return await self._offer(relay, call)
            except _DeclinedError:
                self._avoided[relay] = self._clock.now() + _AVOID_SECONDS
        reason = 'no relay sent the request' if cause is None else cause.message
        raise UnconfirmedError(reason) from cause

    async def _offer(
        self,
        relay: ids.Address,
        call: calls.Call,
    ) -> calls.Answer:
        try:
            answer = await calls.send(self._session, relay, call)
        except backend_errors.NotSentError as exc:
            self._count('not_reached')
            raise _DeclinedError(exc.message) from exc
        outcome = _outcome(answer)
        self._count(outcome.value)
        match outcome:
            case relay_protocol.Outcome.answered:
                answer.headers = multidict.CIMultiDictProxy(
                    _without_outcome(answer.headers)
                )
                return answer
            case relay_protocol.Outcome.declined:
                answer.abandon()
                raise _DeclinedError(f'{relay} declined the request')
            case relay_protocol.Outcome.unreachable:
                answer.abandon()
                raise backend_errors.NotSentError(
                    f'{relay} does not reach the server either'
                )
            case relay_protocol.Outcome.failed:
                answer.abandon()
                raise backend_errors.BrokenError(f'no response through {relay}')

    def _candidates(self) -> list[ids.Address]:
        """Return the relays to offer a request to, near ones first."""
        now = self._clock.now()
        found = self._relays()
        ordered = [
            *self._rng.sample(found.near, len(found.near)),
            *self._rng.sample(found.far, len(found.far)),
        ]
        self._avoided = {
            relay: until
            for relay, until in self._avoided.items()
            if until > now
        }
        return [one for one in ordered if one not in self._avoided][
            :_MAX_OFFERS
        ]

    def _count(self, outcome: str) -> None:
        self._meter.count(metricnames.RELAYED, 'sent', outcome)


def _outcome(answer: calls.Answer) -> relay_protocol.Outcome:
    """Return what a relay says; without a word it may have sent the request."""
    text = answer.headers.get(relay_protocol.OUTCOME, '')
    try:
        return relay_protocol.Outcome(text)
    except ValueError:
        return relay_protocol.Outcome.failed


def _without_outcome(
    headers: typing.Mapping[str, str],
) -> multidict.CIMultiDict[str]:
    found = multidict.CIMultiDict(headers)
    found.popall(relay_protocol.OUTCOME, None)
    return found
