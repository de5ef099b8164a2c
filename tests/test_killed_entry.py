"""Answers whose end is that of their connection, at the end of their process."""

import signal
import socket
import subprocess
import sys

import pytest

SERVER = """
import sys, threading
from persimmonhitch.web import Answer, UnframedBody, WebServer

count, size, pause = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])

def parts():
    for _ in range(count):
        yield b"x" * size
        print("written", flush=True)
        threading.Event().wait(pause)

def app(environ, start_response):
    return Answer(200, {}, UnframedBody(parts())).send(start_response)

server = WebServer(app, "127.0.0.1", 0, 4)
server.start()
print(server.port, flush=True)
threading.Event().wait()
"""
SIZE = 1000


@pytest.fixture
def serve():
    """Return a function that starts a server process and returns a connection."""
    started = []

    def start(count, size, pause):
        args = [sys.executable, "-c", SERVER, str(count), str(size), str(pause)]
        process = subprocess.Popen(args, stdout=subprocess.PIPE, text=True)
        port = int(process.stdout.readline())
        sock = socket.create_connection(("127.0.0.1", port), 10)
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        started.append((process, sock))
        return process, sock

    yield start
    for process, sock in started:
        sock.close()
        process.kill()
        process.wait()
        process.stdout.close()


def read_to_end(sock):
    """Return the bytes up to the end of a connection; raise if it is reset."""
    data = b""
    while part := sock.recv(65536):
        data += part
    return data


@pytest.mark.parametrize("sent", [signal.SIGKILL, signal.SIGTERM])
def test_answer_that_ends_with_its_process_does_not_look_whole(serve, sent):
    """Guards against a part of an answer that its caller takes for the whole."""
    process, sock = serve(5, SIZE, 0.5)
    assert b"x" in sock.recv(65536) + sock.recv(65536)
    process.send_signal(sent)
    with pytest.raises(ConnectionResetError):
        read_to_end(sock)


def test_unsent_part_of_a_written_answer_does_not_look_whole(serve):
    """Guards against an answer that is lost between the entry and a slow reader."""
    process, sock = serve(1, 16_000_000, 0.0)
    assert process.stdout.readline() == "written\n"
    process.kill()
    with pytest.raises(ConnectionResetError):
        read_to_end(sock)


@pytest.mark.parametrize("size", [0, SIZE, 4_000_000])
def test_whole_answer_ends_in_order(serve, size):
    """Guards against whole answers that look truncated."""
    _process, sock = serve(2, size, 0.0)
    data = read_to_end(sock)
    assert len(data.partition(b"\r\n\r\n")[2]) == 2 * size
