"""Tests of differences between documents."""

import hypothesis
import pytest
from geraniumweir.configuration import errors, patches
from geraniumweir.wire.gen.configuration import ttypes
from hypothesis import strategies

_TEXTS = strategies.lists(
    strategies.sampled_from((b'share = 1\n', b'a', b'aa', b'\xc3\xa9')),
    max_size=12,
).map(b''.join)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(_TEXTS, _TEXTS)
def test_patch_gives_the_new_text(old: bytes, new: bytes) -> None:
    """Whatever the two texts are, the difference leads to the new one."""
    patch = patches.make(1, old, new)
    assert patches.apply(patch, old) == new
    assert patch.head + patch.tail <= min(len(old), len(new))


def test_patch_on_another_text_is_refused() -> None:
    """A difference doesn't turn a wrong text into a wrong document."""
    patch = patches.make(1, b'one two three', b'one 2 three')
    with pytest.raises(errors.PatchError):
        patches.apply(patch, b'two two three')
    broken = ttypes.Patch(1, 0, 0, b'no zlib', 0)
    with pytest.raises(errors.PatchError):
        patches.apply(broken, b'')
