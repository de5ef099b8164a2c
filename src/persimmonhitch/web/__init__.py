"""HTTP interface to callers: requests, responses and the HTTP server."""

from .http import Answer, Body, Request, UnframedBody, json_answer, read_request
from .server import WebServer

__all__ = [
    "Answer",
    "Body",
    "Request",
    "UnframedBody",
    "WebServer",
    "json_answer",
    "read_request",
]
