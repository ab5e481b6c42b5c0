"""Numbers of the message types.

The number is the CRC-32 of the qualified name, ``consensus.AppendEntries``,
so that no registry of numbers is needed and hosts of different builds agree
on the messages they share. Two names with the same number prevent the start.
"""

import binascii
import functools
import importlib
import inspect
import pkgutil
import struct

from geraniumweir.wire import errors, gen

NO_MESSAGE = 0
_SIGNED_INT = struct.Struct('>i')
_UNSIGNED_INT = struct.Struct('>I')


class Catalogue:
    """Message types by number and numbers by type."""

    def __init__(self, types: dict[str, type]) -> None:
        """Assign a number to each type.

        :param types: by qualified name.
        :raises ValueError: when two names have the same number.
        """
        self._types: dict[int, type] = {}
        self._numbers: dict[type, int] = {}
        for name, message_type in types.items():
            number = number_of(name)
            if number in self._types or number == NO_MESSAGE:
                raise ValueError(f'the number of {name} is taken already')
            self._types[number] = message_type
            self._numbers[message_type] = number

    def number(self, message_type: type) -> int:
        """Return the number of a type.

        :raises errors.FrameError: when it isn't generated from the IDL.
        """
        found = self._numbers.get(message_type)
        if found is None:
            raise errors.FrameError(f'{message_type!r} is no message')
        return found

    def type_of(self, number: int) -> type:
        """Return the message type with a number.

        :raises errors.FrameError: when this build has no such type.
        """
        found = self._types.get(number)
        if found is None:
            raise errors.FrameError(f'no message has the number {number}')
        return found

    def name_of(self, number: int) -> str:
        """Return the name of a type, empty for an answer without content."""
        found = self._types.get(number)
        return '' if found is None else found.__name__


def number_of(name: str) -> int:
    """Return the number of a qualified name, as thrift's signed ``i32``.

    >>> number_of('peering.Hello')
    -1582587131
    """
    crc = binascii.crc32(name.encode())
    return int(_SIGNED_INT.unpack(_UNSIGNED_INT.pack(crc))[0])


@functools.cache
def generated() -> Catalogue:
    """Return the catalogue of all structs under ``wire.gen``."""
    types: dict[str, type] = {}
    for subject in pkgutil.iter_modules(gen.__path__):
        module = importlib.import_module(
            f'{gen.__name__}.{subject.name}.ttypes',
        )
        types.update(
            (f'{subject.name}.{name}', found)
            for name, found in inspect.getmembers(module, inspect.isclass)
            if found.__module__ == module.__name__
            and hasattr(found, 'thrift_spec')
        )
    return Catalogue(types)
