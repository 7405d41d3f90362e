"""Tests that the committed files are unchanged."""

from __future__ import annotations

import hashlib

from tests.compatibility.fixtures import FILES

SUMS = FILES.parent / "SHA256SUMS"  # output of `sha256sum`; files may be added, never changed


def test_fixture_files_match_their_checksums() -> None:
    lines = [line.partition("  ") for line in SUMS.read_text().splitlines()]
    expected = {path: checksum for checksum, _, path in lines}
    found = {
        str(path.relative_to(FILES.parent)): hashlib.sha256(path.read_bytes()).hexdigest()
        for path in sorted(FILES.rglob("*"))
        if path.is_file()
    }
    assert found == expected
