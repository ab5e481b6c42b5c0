"""Numbers that only grow and can be waited for."""

import asyncio


class Watermark:
    """A number that only grows.

    >>> async def wait_for_two():
    ...     mark = Watermark(0)
    ...     reached = asyncio.create_task(mark.reach(2))
    ...     mark.raise_to(1)
    ...     mark.raise_to(2)
    ...     await reached
    ...     return mark.height
    >>> asyncio.run(wait_for_two())
    2

    :ivar height: the number now.
    """

    def __init__(self, height: int) -> None:
        """Start at a height."""
        self.height = height
        self._moved = asyncio.Event()

    def raise_to(self, height: int) -> None:
        """Grow to a height; a smaller one changes nothing."""
        if height <= self.height:
            return
        self.height = height
        self._moved.set()
        self._moved = asyncio.Event()

    async def reach(self, height: int) -> None:
        """Wait until the number is at least so great."""
        while self.height < height:
            await self._moved.wait()
