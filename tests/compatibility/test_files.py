"""The committed files are what they were when they were committed."""

from __future__ import annotations

import hashlib

from tests.compatibility.fixtures import FILES

SUMS = FILES.parent / "SHA256SUMS"  # as `sha256sum` writes it; files are added, and none is changed


def test_no_fixture_was_changed_left_out_or_added_without_its_sum() -> None:
    rows = [line.partition("  ") for line in SUMS.read_text().splitlines()]
    expected = {path: total for total, _, path in rows}
    found = {
        str(path.relative_to(FILES.parent)): hashlib.sha256(path.read_bytes()).hexdigest()
        for path in sorted(FILES.rglob("*"))
        if path.is_file()
    }
    assert found == expected
