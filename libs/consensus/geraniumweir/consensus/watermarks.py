"""Monotonic numbers with a wait for a value, such as a commit index."""

import asyncio


class Watermark:
    """A number that never decreases.

    >>> async def wait_for_two():
    ...     mark = Watermark(0)
    ...     reached = asyncio.create_task(mark.reach(2))
    ...     mark.raise_to(1)
    ...     mark.raise_to(2)
    ...     await reached
    ...     return mark.height
    >>> asyncio.run(wait_for_two())
    2

    :ivar height: the current value.
    """

    def __init__(self, height: int) -> None:
        """Initialize with a value."""
        self.height = height
        self._changed = asyncio.Event()

    def raise_to(self, height: int) -> None:
        """Increase to a value; a lower one changes nothing."""
        if height <= self.height:
            return
        self.height = height
        self._changed.set()
        self._changed = asyncio.Event()

    async def reach(self, height: int) -> None:
        """Wait until the value is at least the given one."""
        while self.height < height:
            await self._changed.wait()
