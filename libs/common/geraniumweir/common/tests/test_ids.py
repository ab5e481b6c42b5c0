"""Tests of ids and addresses."""

import pytest
from geraniumweir.common import ids


@pytest.mark.parametrize(
    'text',
    ['', '127.0.0.1', '127.0.0.1:', '127.0.0.1:99999', 'host:1', ':80'],
)
def test_bad_address_is_named(text: str) -> None:
    """The error repeats what was given."""
    with pytest.raises(ValueError, match='is not IP:PORT'):
        ids.parse_address(text)
