"""The names that leave the process are those of `outer_names.txt`: a rename of one of them fails here."""

from __future__ import annotations

from tests.compatibility import outer_names


def test_outer_names_of_the_code_are_those_of_the_list() -> None:
    listed = outer_names.LIST.read_text().splitlines()
    now = outer_names.lines()
    assert sorted(set(listed) - set(now)) == [], "names that the code no longer has"
    assert sorted(set(now) - set(listed)) == [], "names that the list lacks"
