"""Reads bodies of a known maximum size."""

import time
from typing import Final

from urllib3 import BaseHTTPResponse

from .errors import AnswerBoundExceeded, AnswerPart

READ_SIZE_BYTES: Final = 65536


def read_body(response: BaseHTTPResponse, max_bytes: int, max_s: float) -> bytes:
    """Return the whole body of an answer that was requested without preloading.

    Parameters
    ----------
    response : BaseHTTPResponse
        Answer whose head has been read.
    max_bytes : int
        Maximum size of the body.
    max_s : float
        Seconds after which no further bytes are waited for. A single wait is limited
        by the timeout of the connection.

    Raises
    ------
    AnswerBoundExceeded
        If the body exceeds a bound; the connection is closed.
    """
    deadline_at = time.monotonic() + max_s
    body = bytearray()
    try:
        while part := response.read1(READ_SIZE_BYTES):
            body += part
            if len(body) > max_bytes:
                raise AnswerBoundExceeded(AnswerPart.BODY, f"{max_bytes} bytes")
            if time.monotonic() > deadline_at and response.length_remaining != 0:
                raise AnswerBoundExceeded(AnswerPart.BODY, f"{max_s:g} seconds")
    except BaseException:
        response.close()
        raise
    response.release_conn()
    return bytes(body)
