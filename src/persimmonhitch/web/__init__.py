"""HTTP interface to callers: requests, responses and the HTTP server."""

from .caller_conn import CallerConn, callers_left
from .http import Answer, Body, Request, UnframedBody, json_answer, read_request
from .server import WebServer

__all__ = [
    "Answer",
    "Body",
    "CallerConn",
    "Request",
    "UnframedBody",
    "WebServer",
    "callers_left",
    "json_answer",
    "read_request",
]
