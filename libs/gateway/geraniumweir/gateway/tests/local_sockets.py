"""Sockets on loopback for tests."""

import socket
import typing

ADDRESS: typing.Final = '127.0.0.1'


def bound(send_buffer: int | None = None) -> socket.socket:
    """Return a bound socket; accepted ones inherit the size of its buffer."""
    sock = socket.socket()
    if send_buffer is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer)
    sock.bind((ADDRESS, 0))
    return sock


def free_port() -> int:
    """Return a port that nothing listens at."""
    with bound() as sock:
        return int(sock.getsockname()[1])
