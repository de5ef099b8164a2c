"""Response of ``http.client`` whose heads, chunk sizes and trailers are bounded.

``http.client`` bounds single lines. It skips any number of interim heads and reads any
number of trailers, and a peer that sends a line byte by byte holds the reader for as
long as it likes. It reads heads with a parser of mails, which stops at the first line
that is no field, and takes a length that it can't read for none.
"""

import io
import socket
import time
from enum import Enum
from http.client import (
    HTTPException,
    HTTPMessage,
    HTTPResponse,
    IncompleteRead,
    RemoteDisconnected,
)
from typing import Any, Final

from .bounds import (
    FREE_CHUNK_LINE_BYTES,
    MAX_BLOCK_S,
    MAX_FRAMING_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEAD_LINES,
)
from .errors import AnswerBoundExceeded, AnswerPart, MalformedAnswer
from .syntax import (
    StatusLine,
    parse_chunk_size,
    parse_chunked,
    parse_field,
    parse_length,
    parse_status_line,
)

HEAD: Final = AnswerPart.HEAD
FRAMING: Final = AnswerPart.FRAMING
MAX_CHUNK_LINE_BYTES: Final = FREE_CHUNK_LINE_BYTES + MAX_FRAMING_BYTES + 1
THAW_READ_S: Final = 0.01
"""Timeout of one read after the end of a block's time: a process that was stopped in
between reads what has arrived meanwhile."""
PROTOCOL: Final = b"HTTP/"
CRLF: Final = b"\r\n"
LINE_ENDS: Final = (CRLF, b"\n")
FIRST_FINAL_STATUS: Final = 200
STATUSES_WITHOUT_BODY: Final = (204, 304)
CONTENT_LENGTH: Final = "content-length"
TRANSFER_ENCODING: Final = "transfer-encoding"


class Framing(Enum):
    """How an answer marks its end."""

    LENGTH = "length"
    """By a length, or by a status or method without a body."""
    CHUNKED = "chunked"
    CLOSE = "close"
    """By the end of the connection; a truncated answer ends in the same way."""


class IncompleteHead(HTTPException):
    """Raised if a connection ends within a head."""


class _Block:
    """Block that is being read; it has slots since each chunk changes it."""

    __slots__ = ("has_begun", "part")

    def __init__(self) -> None:
        self.part: AnswerPart | None = None
        """Kind of the block, or None outside of a block."""
        self.has_begun = False
        """Whether bytes of the block have arrived."""


class _BoundedReader(socket.SocketIO):
    """Reads a socket; bounds the bytes of heads and the time of blocks.

    A block is a head, a chunk size line or the trailers. Its time starts when the
    reader waits for more after the first bytes.
    """

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock, "r")
        # As ``makefile`` does: the socket closes with its last reader.
        sock._io_refs += 1  # type: ignore[attr-defined]
        self._socket = sock
        self.block = _Block()
        self._deadline_at: float | None = None
        self._body_ends_at: float | None = None
        self._is_late = False
        self._head_left = MAX_HEAD_BYTES

    def makefile(self, _mode: str) -> io.BufferedReader:
        """Return a buffered reader, as the socket itself does."""
        return io.BufferedReader(self)

    def limit_body(self, seconds: float) -> None:
        """Limit the time to the end of the body."""
        self._body_ends_at = time.monotonic() + seconds

    def readinto(self, buffer: Any) -> int | None:
        """Read available bytes into a buffer."""
        part = self.block.part
        if self._body_ends_at is not None:
            return self._read_until(AnswerPart.BODY, self._body_ends_at, buffer)
        if part is None:
            return super().readinto(buffer)
        count = self._read_block(part, buffer)
        if part is AnswerPart.HEAD:
            self._check_head(count)
        return count

    def _check_head(self, count: int | None) -> None:
        if count == 0 and self._head_left < MAX_HEAD_BYTES:
            # http.client takes the end of the connection for the end of the head.
            raise IncompleteHead("the connection ended within the head")
        self._head_left -= count or 0
        if self._head_left < 0:
            raise AnswerBoundExceeded(AnswerPart.HEAD, f"{MAX_HEAD_BYTES} bytes")

    def _read_block(self, part: AnswerPart, buffer: Any) -> int | None:
        if not self.block.has_begun:
            self.block.has_begun, self._deadline_at = True, None
            return super().readinto(buffer)
        if self._deadline_at is None:
            limit = self._socket.gettimeout()
            seconds = MAX_BLOCK_S if limit is None else min(limit, MAX_BLOCK_S)
            self._deadline_at = time.monotonic() + seconds
        return self._read_until(part, self._deadline_at, buffer)

    def _read_until(
        self, part: AnswerPart, deadline_at: float, buffer: Any
    ) -> int | None:
        left = deadline_at - time.monotonic()
        if left <= 0:
            if self._is_late:
                raise AnswerBoundExceeded(part, "its time")
            self._is_late = True
        previous = self._socket.gettimeout()
        self._socket.settimeout(max(left, THAW_READ_S))
        try:
            return super().readinto(buffer)
        except TimeoutError:
            raise AnswerBoundExceeded(part, "its time") from None
        finally:
            self._socket.settimeout(previous)


class BoundedResponse(HTTPResponse):
    """Response that raises ``InvalidAnswer`` for its head or framing."""

    fp: Any
    chunk_left: int | None
    _method: str | None
    _framing_left = MAX_FRAMING_BYTES

    def __init__(self, sock: socket.socket, *args: Any, **kwargs: Any) -> None:
        self._reader = _BoundedReader(sock)
        self._block = self._reader.block
        super().__init__(self._reader, *args, **kwargs)  # type: ignore[arg-type]

    def limit_body(self, seconds: float) -> None:
        """Raise ``AnswerBoundExceeded`` if the body takes longer."""
        self._reader.limit_body(seconds)

    def begin(self) -> None:
        """Read the head, and the interim heads before it.

        Raises
        ------
        InvalidAnswer
            If a head is malformed or beyond a bound.
        """
        if self.headers is not None:
            return
        try:
            status = self._read_status_line()
            while status.code < FIRST_FINAL_STATUS:
                self._read_fields()
                status = self._read_status_line()
            fields = self._read_fields()
        finally:
            self._block.part = None
        self.code = self.status = status.code
        self.reason = status.reason
        self.version = 10 if status.minor_version == 0 else 11
        self._set_framing(status.minor_version, fields)
        self.headers = self.msg = fields
        is_open_ended = self.framing is Framing.CLOSE
        self.will_close = self._check_close() or is_open_ended

    @property
    def framing(self) -> Framing:
        """Return how the answer marks its end."""
        if self.chunked:
            return Framing.CHUNKED
        return Framing.CLOSE if self.length is None else Framing.LENGTH

    def _read_status_line(self) -> StatusLine:
        self._block.part, self._block.has_begun = HEAD, False
        # Other bytes may have no line end to wait for.
        start = self.fp.read(len(PROTOCOL))
        if not start:
            raise RemoteDisconnected("the connection ended without an answer")
        if start != PROTOCOL:
            raise MalformedAnswer(HEAD, "status line")
        return parse_status_line(start + self.fp.readline(MAX_HEAD_BYTES + 1))

    def _read_fields(self) -> HTTPMessage:
        """Read the rest of a head after its status line."""
        fields = HTTPMessage()
        for _ in range(MAX_HEAD_LINES):
            line = self.fp.readline(MAX_HEAD_BYTES + 1)
            if line in LINE_ENDS:
                return fields
            name, value = parse_field(line, HEAD)
            fields[name] = value
        raise AnswerBoundExceeded(HEAD, f"{MAX_HEAD_LINES} lines")

    def _set_framing(self, minor_version: int, fields: HTTPMessage) -> None:
        lengths = fields.get_all(CONTENT_LENGTH, [])
        codings = fields.get_all(TRANSFER_ENCODING, [])
        is_chunked = parse_chunked(codings, minor_version)
        length = parse_length(lengths)
        if is_chunked and length is not None:
            raise MalformedAnswer(HEAD, "length beside a transfer coding")
        if lengths not in ([], [str(length)]):
            # Later readers get a single plain number.
            del fields[CONTENT_LENGTH]
            fields[CONTENT_LENGTH] = str(length)
        has_body = self.status not in STATUSES_WITHOUT_BODY and self._method != "HEAD"
        self.chunked = is_chunked and has_body
        self.chunk_left = None
        self.length = length if has_body else 0

    def _get_chunk_left(self) -> int | None:
        """Return the unread bytes of the chunk, read the next size if there are none.

        Returns None after the last chunk.

        Raises
        ------
        InvalidAnswer
            If the framing is malformed or beyond a bound.
        """
        left = self.chunk_left
        if left:
            return left
        if left is not None:
            self._read_chunk_end()
        size = parse_chunk_size(self._read_chunk_line())
        if size == 0:
            self._read_and_discard_trailer()
            self._close_conn()  # type: ignore[attr-defined]
        left = self.chunk_left = size or None
        return left

    def _read_chunk_end(self) -> None:
        end = self.fp.read(len(CRLF))
        if len(end) < len(CRLF):
            raise IncompleteRead(b"")
        if end != CRLF:
            raise MalformedAnswer(FRAMING, "chunk end")

    def _read_chunk_line(self) -> bytes:
        block = self._block
        block.part = FRAMING
        block.has_begun = False
        line: bytes = self.fp.readline(MAX_CHUNK_LINE_BYTES)
        block.part = None
        if len(line) > FREE_CHUNK_LINE_BYTES:
            self._charge(len(line) - FREE_CHUNK_LINE_BYTES)
        if not line.endswith(b"\n"):
            # The first digits of a size are a size as well.
            raise IncompleteRead(b"")
        return line

    def _read_and_discard_trailer(self) -> None:
        self._block.part, self._block.has_begun = FRAMING, False
        is_first = True
        while True:
            line = self.fp.readline(self._framing_left + 1)
            self._charge(len(line))
            if line in LINE_ENDS or (is_first and not line):
                # Some upstreams close after the last chunk without an empty line.
                break
            if not line.endswith(b"\n"):
                raise IncompleteRead(b"")
            parse_field(line, FRAMING)
            is_first = False
        self._block.part = None

    def _charge(self, count: int) -> None:
        self._framing_left -= max(0, count)
        if self._framing_left < 0:
            bound = f"{MAX_FRAMING_BYTES} bytes"
            raise AnswerBoundExceeded(AnswerPart.FRAMING, bound)
