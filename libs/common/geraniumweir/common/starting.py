"""When this process started."""

import time
import typing

# In seconds on the steady clock, which event loops use. Programs import this
# module first: what they need else takes half a second to load.
AT: typing.Final = time.monotonic()
