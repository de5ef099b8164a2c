"""Lists of several pages, and names of objects that other writers chose."""

import pytest
from returns.result import Failure, Success

from persimmonhitch.platform.objects_format import decode_page
from persimmonhitch.platform.store_client import StoreClient
from persimmonhitch.standin.store_server import StoreApp
from persimmonhitch.standin.store_state import StoreState, UnknownAfter
from persimmonhitch.store.objects import (
    Kind,
    Page,
    StoredObject,
    StoreError,
    StoreFailure,
    Version,
)
from persimmonhitch.store.pages import MAX_LISTED, MAX_MARKERS, read_list
from persimmonhitch.store.watcher import Watcher
from persimmonhitch.web import Answer, WebServer

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


class Web:
    """Server whose application each test replaces."""

    def __init__(self):
        self.app = None
        self._server = WebServer(self, "127.0.0.1", 0, 4)
        self._server.start()
        self.url = f"http://127.0.0.1:{self._server.port}"

    def __call__(self, environ, start_response):
        return self.app(environ, start_response)

    def close(self):
        self._server.close()


@pytest.fixture(scope="module")
def web():
    shared = Web()
    yield shared
    shared.close()


class Store:
    """Stand-in store over HTTP with short pages."""

    def __init__(self, web, unknown_after, page_items=1):
        self.state = StoreState()
        self.state.page_items = page_items
        self.state.unknown_after = unknown_after
        web.app = StoreApp(self.state)
        self.client = StoreClient(web.url, 5.0)

    def listed(self):
        """Return the names of a list."""
        listing = self.client.list_all(Kind.UPSTREAM).unwrap()
        return sorted(obj.name for obj in listing.items)


@pytest.mark.parametrize("unknown_after", UnknownAfter)
@pytest.mark.parametrize("name", ODD_NAMES)
def test_name_at_the_end_of_a_page_hides_no_object(web, name, unknown_after):
    """Guards against lists that end, fail or begin anew at a name with a delimiter."""
    store = Store(web, unknown_after)
    for each in (*SOUND_NAMES, name):
        store.state.create(Kind.UPSTREAM, each, {}).unwrap()
    assert store.listed() == sorted((*SOUND_NAMES, name))
    assert store.state.calls["list"] == len(SOUND_NAMES) + 1


@pytest.mark.parametrize("name", ODD_NAMES)
def test_calls_reach_the_object_with_a_name(web, name):
    """Guards against calls that reach another object, or no object."""
    store = Store(web, UnknownAfter.REJECT)
    for each in SOUND_NAMES:
        store.state.create(Kind.UPSTREAM, each, {}).unwrap()
    created = store.client.create(Kind.UPSTREAM, name, {"x": 1}).unwrap()
    assert store.client.get(Kind.UPSTREAM, name).unwrap() == created
    updated = store.client.update(created, {"x": 2}).unwrap()
    assert (updated.name, updated.spec) == (name, {"x": 2})
    assert isinstance(store.client.delete(updated), Success)
    assert store.listed() == sorted(SOUND_NAMES)


@pytest.mark.parametrize(
    ("status", "error"),
    [
        (400, StoreError.INVALID),
        (404, StoreError.NOT_FOUND),
        (409, StoreError.CONFLICT),
        (410, StoreError.EXPIRED),
        (503, StoreError.UNAVAILABLE),
    ],
)
@pytest.mark.parametrize("body", [b"", b"{}", b"Bad Request", b"<html>", b"\xff"])
def test_error_of_the_store_holds_whatever_its_body(web, status, error, body):
    """Guards against lists and watches that take a rejection for an outage."""
    head = {"content-length": str(len(body))}
    web.app = lambda _environ, start: Answer(status, head, [body]).send(start)
    client = StoreClient(web.url, 5.0)
    assert client.list_all(Kind.UPSTREAM).failure().error is error


class FakePages:
    """Pages of a list of names; replies to odd names as ``on_odd`` says."""

    def __init__(self, names, size=3, on_odd=UnknownAfter.REJECT, is_odd=None):
        self.names = sorted(names)
        self.size = size
        self.on_odd = on_odd
        self.is_odd = is_odd or (lambda name: "&" in name)
        self.calls = 0

    def __call__(self, after):
        self.calls += 1
        if after is not None and self.is_odd(after):
            if self.on_odd is UnknownAfter.REJECT:
                return Failure(StoreFailure(StoreError.INVALID, "status 400"))
            after = None
        rest = [name for name in self.names if after is None or name > after]
        return Success(make_page(rest[: self.size], len(rest) > self.size))


def make_page(names, has_more, version=9):
    items = tuple(
        StoredObject(Kind.UPSTREAM, name, Version(1), {})
        for name in names
        if name.isprintable()
    )
    return Page(Version(version), items, tuple(names), has_more)


@pytest.mark.parametrize("on_odd", [UnknownAfter.REJECT, UnknownAfter.RESTART])
@pytest.mark.parametrize("odd", [1, 2])
def test_list_continues_before_names_that_the_store_does_not_find(odd, on_odd):
    """Guards against a list that fails for good where the store spells a name anew."""
    names = ["a", "m", "x", "y", "z", *(f"m&{n}" for n in range(odd))]
    pages = FakePages(names, on_odd=on_odd)
    listing = read_list(Kind.UPSTREAM, pages).unwrap()
    assert sorted(obj.name for obj in listing.items) == sorted(names)


@pytest.mark.parametrize("names", [["\ud83d", "\udcff", "\ud800"], ["", "a", "b"]])
def test_unreadable_names_do_not_end_a_list(names):
    """Guards against a page without readable objects that is taken for the last one."""
    pages = FakePages([*names, "\ud83e", "sound"], size=2, is_odd=lambda name: not name)
    listing = read_list(Kind.UPSTREAM, pages).unwrap()
    assert "sound" in {obj.name for obj in listing.items}


@pytest.mark.parametrize("on_odd", [UnknownAfter.REJECT, UnknownAfter.RESTART])
def test_list_without_progress_fails(on_odd):
    """Guards against a list that grows until the memory is used up."""
    pages = FakePages("abcdefgh", on_odd=on_odd, is_odd=lambda name: True)
    failure = read_list(Kind.UPSTREAM, pages).failure()
    assert failure.error in (StoreError.UNAVAILABLE, StoreError.INVALID)
    assert pages.calls <= MAX_MARKERS + 1


def test_list_with_ever_new_names_fails():
    """Guards against a store whose list has no end."""
    sizes = iter(range(1, MAX_LISTED))

    def fetch(_after):
        number = next(sizes)
        return Success(make_page([f"n{number}-{n}" for n in range(500)], True))

    assert read_list(Kind.UPSTREAM, fetch).failure().error is StoreError.UNAVAILABLE
    assert next(sizes) <= MAX_LISTED // 500 + 2


def test_failure_between_pages_fails_the_list():
    replies = iter(
        [
            Success(make_page(["a"], True)),
            Failure(StoreFailure(StoreError.UNAVAILABLE, "status 503")),
        ]
    )
    result = read_list(Kind.UPSTREAM, lambda _after: next(replies))
    assert result.failure().error is StoreError.UNAVAILABLE


@pytest.mark.parametrize(
    "item", [None, 5, [], {}, {"metadata": 1}, {"metadata": {"name": ["a"]}}]
)
def test_object_without_a_name_hides_no_other(item):
    """Guards against a list that one object without a name makes unreadable."""
    sound = {"metadata": {"name": "a", "revision": 1}, "specification": {}}
    body = {"items": [item, sound], "has_more": True, "at_revision": 3}
    page = decode_page(Kind.UPSTREAM, body)
    assert [obj.name for obj in page.items] == ["a"]
    assert page.names == ("a",)


class ChangingStore:
    """Store in which an object changes between the pages of the first list."""

    def __init__(self, server, change):
        self._client = server.client
        self.watch = server.client.watch
        self._state = server.state
        self._change = change

    def list_all(self, kind):
        def fetch(after):
            result = self._client._get_page(kind, after)
            if after is None:
                self._change(self._state)
            return result

        return read_list(kind, fetch)


def _delete_first(state):
    state.delete(state.get(Kind.UPSTREAM, "a").unwrap()).unwrap()


def _drain_first(state):
    old = state.get(Kind.UPSTREAM, "a").unwrap()
    state.update(old, {"state": "draining"}).unwrap()


@pytest.mark.parametrize(
    ("change", "expected"),
    [(_delete_first, None), (_drain_first, {"state": "draining"})],
)
def test_change_between_two_pages_is_seen(web, change, expected):
    """Guards against an upstream that has left and stays in the list for good."""
    store = Store(web, UnknownAfter.CONTINUE)
    for name in SOUND_NAMES:
        store.state.create(Kind.UPSTREAM, name, {}).unwrap()
    watcher = Watcher(ChangingStore(store, change), Kind.UPSTREAM, lambda _view: None)
    watcher._apply_listing(watcher._store.list_all(Kind.UPSTREAM).unwrap())
    assert isinstance(watcher.check(), Success)
    found = watcher.view.objects.get("a")
    assert (found.spec if found else None) == expected
    assert set(SOUND_NAMES) - {"a"} <= watcher.view.objects.keys()
