"""Idle connections to upstreams."""

import socket

import pytest

from persimmonhitch.direct.connection_pool import ConnectionPool


@pytest.fixture
def addresses():
    """Return the addresses of two listeners."""
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(2)]
    yield [listener.getsockname() for listener in listeners]
    for listener in listeners:
        listener.close()


def test_idle_connections_to_removed_upstreams_are_closed(addresses):
    """Guards against an entry without descriptors after many replacements."""
    pool = ConnectionPool()
    conns = [pool.open(address, 1.0) for address in addresses]
    for address, conn in zip(addresses, conns, strict=True):
        pool.release(address, conn, None)
    pool.keep_only({addresses[0]})
    assert [conn.sock is None for conn in conns] == [False, True]
    assert pool.acquire(addresses[0], 1.0) is conns[0]
    assert pool.acquire(addresses[1], 1.0) is None


def test_connection_to_an_upstream_removed_meanwhile_is_closed(addresses):
    """Guards against connections that come back after their upstream has left."""
    pool = ConnectionPool()
    conn = pool.open(addresses[1], 1.0)
    pool.keep_only({addresses[0]})
    pool.release(addresses[1], conn, None)
    assert conn.sock is None


def test_upstream_that_comes_back_has_connections_again(addresses):
    """Guards against a new connection for each request after a short absence."""
    pool = ConnectionPool()
    pool.keep_only(set())
    pool.keep_only(set(addresses))
    conn = pool.open(addresses[0], 1.0)
    pool.release(addresses[0], conn, None)
    assert pool.acquire(addresses[0], 1.0) is conn
