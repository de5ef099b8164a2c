"""Equality of the fingerprints of requests."""

import pytest

from persimmonhitch.fleet.call import fingerprint
from persimmonhitch.ids import Account

COOP, SHOP = Account("coop"), Account("shop")


@pytest.mark.parametrize(
    ("other", "same"),
    [
        (("/a/b", COOP, b"x"), True),
        (("/a/c", COOP, b"x"), False),
        (("/a/b", SHOP, b"x"), False),
        (("/a/b", None, b"x"), False),
        (("/a/b", COOP, b"y"), False),
        (("/a", COOP, b"x/b"), False),
    ],
)
def test_fingerprint_covers_path_account_and_body(other, same):
    assert (fingerprint("/a/b", COOP, b"x") == fingerprint(*other)) is same
