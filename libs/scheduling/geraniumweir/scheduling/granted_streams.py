"""What the grants of a pool leader tell of the streams that follow them."""

from geraniumweir.scheduling import requests, stream_origins


def of_grant(
    slot_request: requests.SlotRequest, grant: requests.Grant, now: float
) -> stream_origins.StreamBegin:
    """Return the version of a grant for the content of its request.

    It is recorded before a stream begins, so that two grants for one content
    at different versions make it unknown, even where an entry host is lost
    with the beginning that it saw.

    :param now: in seconds on the loop's clock.
    """
    key = stream_origins.key_of_content(
        slot_request.customer, slot_request.fingerprint
    )
    origin = stream_origins.StreamOrigin(slot_request.pool, grant.version)
    seconds = stream_origins.resumable_seconds(slot_request.deadline - now)
    return stream_origins.StreamBegin(key, origin, seconds)
