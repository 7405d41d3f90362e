"""A stand-in for the fleet bench's system-call filter: what it refuses, refused here in the same way.

`python tests/support/seccomp_filter.py` sets a seccomp filter (seccomp(2), SECCOMP_MODE_FILTER,
no_new_privs, so without special rights) on this process before any thread starts, then runs the node in
it as `python -m gradegap` would. Refused, as the fleet page says: fork, vfork, clone without
CLONE_THREAD, clone3 (glibc then makes its threads by clone), execve, execveat, io_uring_*, sendfile with
ENOSYS; splice, tee and vmsplice with EINVAL; IPv6 sockets with EAFNOSUPPORT.
x86_64 only: elsewhere `install` raises `OSError`."""

from __future__ import annotations

import ctypes
import errno
import os
import platform
import runpy
import struct
import sys
from pathlib import Path

ARCH_X86_64 = 0xC000003E
CLONE_THREAD = 0x00010000
AF_INET6 = 10
ENOSYS_CALLS = {57: "fork", 58: "vfork", 59: "execve", 322: "execveat", 435: "clone3", 40: "sendfile"} | {
    425: "io_uring_setup",
    426: "io_uring_enter",
    427: "io_uring_register",
}
EINVAL_CALLS = {275: "splice", 276: "tee", 278: "vmsplice"}
CLONE, SOCKET = 56, 41

LD_W_ABS, JEQ, JSET, RET = 0x20, 0x15, 0x45, 0x06
ALLOW, ERRNO = 0x7FFF0000, 0x00050000
NR_AT, ARCH_AT, ARG0_AT = 0, 4, 16  # offsets in struct seccomp_data, little-endian


def filter_program() -> list[tuple[int, int, int, int]]:
    """The filter as (code, jt, jf, k); jumps are resolved from named places."""
    code: list[tuple[int, str | int, str | int, int]] = [
        (LD_W_ABS, 0, 0, ARCH_AT),
        (JEQ, 0, "allow", ARCH_X86_64),
    ]
    code.append((LD_W_ABS, 0, 0, NR_AT))
    code += [(JEQ, "enosys", 0, nr) for nr in ENOSYS_CALLS]
    code += [(JEQ, "einval", 0, nr) for nr in EINVAL_CALLS]
    code += [(JEQ, "clone", 0, CLONE), (JEQ, "socket", 0, SOCKET), (RET, 0, 0, ALLOW)]
    places: dict[str, int] = {}
    places["clone"] = len(code)
    code += [(LD_W_ABS, 0, 0, ARG0_AT), (JSET, "allow", "enosys", CLONE_THREAD)]
    places["socket"] = len(code)
    code += [(LD_W_ABS, 0, 0, ARG0_AT), (JEQ, "noinet6", "allow", AF_INET6)]
    # BPF jumps forward only: the ways out come last.
    for place, answer in (
        ("enosys", ERRNO | errno.ENOSYS),
        ("einval", ERRNO | errno.EINVAL),
        ("allow", ALLOW),
    ):
        places[place] = len(code)
        code.append((RET, 0, 0, answer))
    places["noinet6"] = len(code)
    code.append((RET, 0, 0, ERRNO | errno.EAFNOSUPPORT))

    def jump(at: int, to: str | int) -> int:
        return to if isinstance(to, int) else places[to] - at - 1

    return [(c, jump(i, jt), jump(i, jf), k) for i, (c, jt, jf, k) in enumerate(code)]


class _Prog(ctypes.Structure):
    _fields_ = [("len", ctypes.c_ushort), ("filter", ctypes.c_void_p)]


def install() -> None:
    """Sets the filter on this thread and all that it starts. `OSError` where the kernel or machine won't."""
    if platform.machine() != "x86_64":
        raise OSError(errno.ENOTSUP, "the filter is written for x86_64")
    libc = ctypes.CDLL(None, use_errno=True)
    steps = filter_program()
    raw = ctypes.create_string_buffer(b"".join(struct.pack("HBBI", *step) for step in steps))
    prog = _Prog(len(steps), ctypes.cast(raw, ctypes.c_void_p))
    pr_set_no_new_privs, pr_set_seccomp, mode_filter = 38, 22, 2
    for args in ((pr_set_no_new_privs, 1, 0, 0, 0), (pr_set_seccomp, mode_filter, ctypes.byref(prog), 0, 0)):
        if libc.prctl(*args) != 0:
            number = ctypes.get_errno()
            raise OSError(number, os.strerror(number))


if __name__ == "__main__":
    install()
    sys.path[0] = str(Path(__file__).absolute().parents[2])  # the checkout, not tests/support
    sys.argv = [sys.argv[0]]  # the node as the platform starts it: no command line
    runpy.run_module("gradegap", run_name="__main__", alter_sys=True)
