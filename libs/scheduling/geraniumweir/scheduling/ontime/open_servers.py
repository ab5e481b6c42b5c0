"""Offers of the servers that have a free slot, as they change in a cycle."""

import typing

from geraniumweir.scheduling.ontime import cooldowns, placing, records

# Number of open servers of a large pool that are compared for a request. The
# best of sixteen is on average within the best tenth of any number, and the
# time of a cycle doesn't grow with the pool.
_MAX_COMPARED = 16
# Of these, so many may be chosen because they are in the failure domain of the
# first request.
_MAX_NEARBY_COMPARED = 8


def open_offers(
    servers: typing.Sequence[records.Server],
    first_index: int,
    estimates: placing.Estimates,
    nearby: typing.Sequence[records.Server] = (),
) -> list[placing.Offer]:
    """List servers with a free slot, up to a maximum number.

    :param first_index: index of the first server to look at. With another one
        in each cycle, all servers of a large pool get their turn.
    :param nearby: servers to look at first, of which up to half of the maximum
        number are listed.
    """
    offers: list[placing.Offer] = []
    _add_offers(offers, nearby, _MAX_NEARBY_COMPARED, estimates)
    listed = {offer.server.server_id for offer in offers}
    others = (
        server
        for server in (*servers[first_index:], *servers[:first_index])
        if server.server_id not in listed
    )
    _add_offers(offers, others, _MAX_COMPARED, estimates)
    return offers


def _add_offers(
    offers: list[placing.Offer],
    servers: typing.Iterable[records.Server],
    max_offers: int,
    estimates: placing.Estimates,
) -> None:
    """Add offers of servers with a free slot, up to a number in all."""
    for server in servers:
        stuck = server.stuck(estimates.now)
        if server.hangs(stuck):
            # After the cooldown one request probes whether it still hangs.
            cooldowns.record_fault(server, cooldowns.Cause.hung, estimates.now)
        free_slots = server.free_slots(estimates.now, len(stuck))
        if free_slots > 0:
            offers.append(placing.make_offer(server, free_slots, estimates))
        if len(offers) == max_offers:
            break


def take_slot(
    offers: list[placing.Offer],
    offer: placing.Offer,
    estimates: placing.Estimates,
) -> None:
    """Take one slot of a candidate and update or remove its offer."""
    offers.remove(offer)
    if offer.free_slots > 1:
        reduced = placing.make_offer(
            offer.server, offer.free_slots - 1, estimates
        )
        offers.append(reduced)


def take_slot_of(
    offers: list[placing.Offer],
    server: records.Server,
    estimates: placing.Estimates,
) -> None:
    """Take one slot of a server, if it is among the candidates."""
    found = [offer for offer in offers if offer.server is server]
    if found:
        take_slot(offers, found[0], estimates)
