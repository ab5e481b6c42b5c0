"""Memory of engines: tokens that running requests keep there.

Load: long prompts beside each other on one engine. An engine keeps the prompt
and the output of each running request until it ends. A request for which there
is no room is preempted and its prompt read again, and an engine that holds more
than its memory crashes. So a request is granted a slot only where its prompt
and expected output fit beside those that run there.

The tokens are summed up from the running requests for each offer, as there are
no more of them than slots: a counter could drift when grants are adopted. Parts
of prompts that requests share are counted for each of them, because engines
evict them under pressure.
"""

import math
import typing

from geraniumweir.scheduling.ontime import records


def tokens_needed(waiting: records.Waiting) -> float:
    """Return the tokens that a request keeps at its end."""
    return waiting.slot_request.prompt_tokens + waiting.tokens


def spare_tokens(server: records.Server) -> float:
    """Return the tokens that further requests may keep at a server.

    It is infinite where the capacity is unknown. Requests whose first token is
    lost count, too: the server may still hold them.
    """
    capacity = server.announcement.kv_tokens
    return capacity - server.kept_tokens() if capacity else math.inf


def max_tokens(servers: typing.Iterable[records.Server]) -> float:
    """Return the capacity of the largest server, infinite if any is unknown.

    It is infinite without servers, too: what none of them can hold isn't known.
    """
    capacities = [one.announcement.kv_tokens or math.inf for one in servers]
    return max(capacities, default=math.inf)
