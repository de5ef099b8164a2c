"""Lists of several pages, and names of objects that other writers chose."""

import pytest
from returns.result import Success

from persimmonhitch.platform.store_client import StoreClient
from persimmonhitch.standin.store_server import StoreApp
from persimmonhitch.standin.store_state import StoreState, UnknownAfter
from persimmonhitch.store.objects import Kind
from persimmonhitch.web import WebServer

ODD_NAMES = (
    "b&c",
    "b&after=a",
    "b+c",
    "b#c",
    "b%41",
    "b%",
    "b%2",
    "b c",
    "b?c",
    "b;c",
    "b=c",
    "b/c",
    "b/../c",
    "b\\c",
    'b"c',
    "b\r\nc",
    "b\0c",
    "b\x7f",
    "bü",
    "b€",
    "b😀",
    ".",
    "..",
    "&",
    "+",
    "b" * 900,
)
SOUND_NAMES = ("a", "z1", "z2")


class StoreServer:
    """Stand-in store over HTTP with short pages."""

    def __init__(self, unknown_after, page_items=1):
        self.state = StoreState()
        self.state.page_items = page_items
        self.state.unknown_after = unknown_after
        self._server = WebServer(StoreApp(self.state), "127.0.0.1", 0, 4)
        self._server.start()
        self.client = StoreClient(f"http://127.0.0.1:{self._server.port}", 5.0)

    def __enter__(self):
        return self

    def __exit__(self, *_exc):
        self._server.close()

    def listed(self):
        """Return the names of a list."""
        listing = self.client.list_all(Kind.UPSTREAM).unwrap()
        return sorted(obj.name for obj in listing.items)


@pytest.mark.parametrize("unknown_after", UnknownAfter)
@pytest.mark.parametrize("name", ODD_NAMES)
def test_name_at_the_end_of_a_page_hides_no_object(name, unknown_after):
    """Guards against lists that end, fail or begin anew at a name with a delimiter."""
    with StoreServer(unknown_after) as store:
        for each in (*SOUND_NAMES, name):
            store.state.create(Kind.UPSTREAM, each, {}).unwrap()
        assert store.listed() == sorted((*SOUND_NAMES, name))
        assert store.state.calls["list"] == len(SOUND_NAMES) + 1


@pytest.mark.parametrize("name", ODD_NAMES)
def test_calls_reach_the_object_with_a_name(name):
    """Guards against calls that reach another object, or no object."""
    with StoreServer(UnknownAfter.REJECT) as store:
        for each in SOUND_NAMES:
            store.state.create(Kind.UPSTREAM, each, {}).unwrap()
        created = store.client.create(Kind.UPSTREAM, name, {"x": 1}).unwrap()
        assert store.client.get(Kind.UPSTREAM, name).unwrap() == created
        updated = store.client.update(created, {"x": 2}).unwrap()
        assert (updated.name, updated.spec) == (name, {"x": 2})
        assert isinstance(store.client.delete(updated), Success)
        assert store.listed() == sorted(SOUND_NAMES)
