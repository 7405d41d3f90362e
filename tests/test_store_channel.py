"""Links of the store: handshake, framing, and the errors that end a link."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gradegap.raft import Member
from gradegap.store import wire
from gradegap.store.channel import MAX_FRAME_BYTES, MAX_HELLO_BYTES, LinkChannel
from gradegap.store.errors import LinkError


def channel_pair(secrets: tuple[bytes, bytes] = (b"s" * 16, b"s" * 16)) -> tuple[LinkChannel, LinkChannel]:
    dialer = LinkChannel.open(secrets[0], "member", True, Member("1", "n1", "x"), "c")
    acceptor = LinkChannel.open(secrets[1], "member", False, Member("2", "n2", "y"), "c")
    return dialer, acceptor


def complete_handshake(dialer: LinkChannel, acceptor: LinkChannel) -> None:
    to_acceptor, to_dialer = dialer.begin(), b""
    while to_dialer or to_acceptor:
        _, to_dialer = acceptor.receive(to_acceptor)
        _, to_acceptor = dialer.receive(to_dialer)
    assert dialer.authenticated and acceptor.authenticated


MESSAGES = [wire.Join(Member("1", "n", "a")), wire.LeaseApplied("h", 7), wire.LinkRejected("why")]


@settings(max_examples=60, deadline=None)
@given(st.lists(st.sampled_from(MESSAGES), max_size=5), st.lists(st.integers(1, 40), min_size=1))
def test_messages_split_at_any_byte_are_decoded(messages: list[wire.LinkMessage], cuts: list[int]) -> None:
    dialer, acceptor = channel_pair()
    complete_handshake(dialer, acceptor)
    data = b"".join(dialer.send(message) for message in messages)
    received, offset, k = [], 0, 0
    while offset < len(data):
        size = cuts[k % len(cuts)]
        received += acceptor.receive(data[offset : offset + size])[0]
        offset, k = offset + size, k + 1
    assert received == messages


@settings(max_examples=150, deadline=None)
@given(st.data())
def test_changed_frame_ends_the_link(data: st.DataObject) -> None:
    dialer, acceptor = channel_pair()
    complete_handshake(dialer, acceptor)
    frames = [dialer.send(wire.LeaseApplied("holder", k)) for k in range(4)]
    change = data.draw(st.sampled_from(["flip bit", "duplicate", "swap", "omit", "other link"]))
    if change == "flip bit":
        offset = data.draw(st.integers(0, len(frames[1]) - 1))
        bit = 1 << data.draw(st.integers(0, 7))
        frames[1] = frames[1][:offset] + bytes([frames[1][offset] ^ bit]) + frames[1][offset + 1 :]
    elif change == "duplicate":
        frames.insert(1, frames[0])
    elif change == "swap":
        frames[1], frames[2] = frames[2], frames[1]
    elif change == "omit":
        del frames[1]
    else:
        other_dialer, other_acceptor = channel_pair()
        complete_handshake(other_dialer, other_acceptor)
        frames[1] = other_dialer.send(wire.LeaseApplied("holder", 1))
    received: list[wire.LinkMessage] = []
    with pytest.raises(LinkError, match=r"^garbled"):
        for frame in frames:
            received += acceptor.receive(frame)[0]
        # A larger length field only makes the channel wait for more bytes; these complete the invalid frame.
        acceptor.receive(b"\0" * MAX_FRAME_BYTES)
    assert received == [wire.LeaseApplied("holder", 0)]


@pytest.mark.parametrize(
    ("dialer_secret", "acceptor_secret", "clusters", "reason"),
    [
        (b"a" * 16, b"b" * 16, ("c", "c"), "secret"),
        (b"a" * 16, b"", ("c", "c"), "secret"),
        (b"a" * 16, b"a" * 16, ("c", "d"), "cluster"),
    ],
)
def test_peer_with_other_secret_or_cluster_is_rejected_with_reason(
    dialer_secret: bytes, acceptor_secret: bytes, clusters: tuple[str, str], reason: str
) -> None:
    dialer = LinkChannel.open(dialer_secret, "member", True, Member("1", "n1", "x"), clusters[0])
    acceptor = LinkChannel.open(acceptor_secret, "member", False, Member("2", "n2", "y"), clusters[1])
    with pytest.raises(LinkError, match=f"^{reason}"):
        complete_handshake(dialer, acceptor)
    assert not acceptor.authenticated


def test_reflected_or_second_hello_is_rejected() -> None:
    dialer, _ = channel_pair()
    hello = dialer.begin()
    with pytest.raises(LinkError):
        dialer.receive(hello)
    acceptor = LinkChannel.open(b"s" * 16, "member", False, Member("2", "n2", "y"), "c")
    acceptor.receive(hello)
    with pytest.raises(LinkError):
        acceptor.receive(LinkChannel.open(b"s" * 16, "member", True).begin())


@settings(max_examples=100, deadline=None)
@given(st.binary(max_size=200))
def test_random_bytes_end_the_link_or_stay_within_the_hello_limit(noise: bytes) -> None:
    _, acceptor = channel_pair()
    try:
        messages, _ = acceptor.receive(noise)
        assert not messages and not acceptor.authenticated and len(acceptor.buffer) <= MAX_HELLO_BYTES + 4
    except LinkError:
        pass
