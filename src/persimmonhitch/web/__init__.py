"""HTTP interface to callers: requests, responses and the HTTP server."""

from .http import Answer, Body, Request, json_answer, read_request
from .server import WebServer

__all__ = ["Answer", "Body", "Request", "WebServer", "json_answer", "read_request"]
