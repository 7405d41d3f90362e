"""A stand-in for the system-call filter of the fleet bench, which fails the same calls with the same errors.

`python tests/support/seccomp_filter.py` installs a seccomp filter (seccomp(2), SECCOMP_MODE_FILTER with
no_new_privs, so without privileges) on this process before any thread starts, and then runs the node in it as
`python -m gradegap` would. The filter rejects the calls that the fleet page lists:

- ENOSYS: fork, vfork, clone without CLONE_THREAD, clone3 (glibc then creates threads with clone), execve,
  execveat, io_uring_* and sendfile.
- EINVAL: splice, tee and vmsplice.
- EAFNOSUPPORT: IPv6 sockets.

The filter is for x86_64 only; on other machines `install` raises `OSError`.
"""

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
    """Returns the BPF program as (code, jt, jf, k) of struct sock_filter, with labels resolved to offsets."""
    code: list[tuple[int, str | int, str | int, int]] = [
        (LD_W_ABS, 0, 0, ARCH_AT),
        (JEQ, 0, "allow", ARCH_X86_64),
    ]
    code.append((LD_W_ABS, 0, 0, NR_AT))
    code += [(JEQ, "enosys", 0, nr) for nr in ENOSYS_CALLS]
    code += [(JEQ, "einval", 0, nr) for nr in EINVAL_CALLS]
    code += [(JEQ, "clone", 0, CLONE), (JEQ, "socket", 0, SOCKET), (RET, 0, 0, ALLOW)]
    labels: dict[str, int] = {}
    labels["clone"] = len(code)
    code += [(LD_W_ABS, 0, 0, ARG0_AT), (JSET, "allow", "enosys", CLONE_THREAD)]
    labels["socket"] = len(code)
    code += [(LD_W_ABS, 0, 0, ARG0_AT), (JEQ, "noinet6", "allow", AF_INET6)]
    # BPF jumps forward only, so the return instructions come last.
    for label, result in (
        ("enosys", ERRNO | errno.ENOSYS),
        ("einval", ERRNO | errno.EINVAL),
        ("allow", ALLOW),
    ):
        labels[label] = len(code)
        code.append((RET, 0, 0, result))
    labels["noinet6"] = len(code)
    code.append((RET, 0, 0, ERRNO | errno.EAFNOSUPPORT))

    def offset(index_of_jump: int, target: str | int) -> int:
        return target if isinstance(target, int) else labels[target] - index_of_jump - 1

    return [
        (operation, offset(index, jt), offset(index, jf), k)
        for index, (operation, jt, jf, k) in enumerate(code)
    ]


class _Prog(ctypes.Structure):
    _fields_ = [("len", ctypes.c_ushort), ("filter", ctypes.c_void_p)]


def install() -> None:
    """Installs the filter on this thread and on all threads that it starts.

    Raises:
        OSError: the kernel rejects the filter, or the machine is not x86_64.
    """
    if platform.machine() != "x86_64":
        raise OSError(errno.ENOTSUP, "the filter is written for x86_64")
    libc = ctypes.CDLL(None, use_errno=True)
    instructions = filter_program()
    program_bytes = ctypes.create_string_buffer(
        b"".join(struct.pack("HBBI", *instruction) for instruction in instructions)
    )
    prog = _Prog(len(instructions), ctypes.cast(program_bytes, ctypes.c_void_p))
    pr_set_no_new_privs, pr_set_seccomp, mode_filter = 38, 22, 2
    for args in ((pr_set_no_new_privs, 1, 0, 0, 0), (pr_set_seccomp, mode_filter, ctypes.byref(prog), 0, 0)):
        if libc.prctl(*args) != 0:
            number = ctypes.get_errno()
            raise OSError(number, os.strerror(number))


if __name__ == "__main__":
    install()
    # The root of the checkout in place of tests/support.
    sys.path[0] = str(Path(__file__).absolute().parents[2])
    sys.argv = [sys.argv[0]]  # without arguments, as the platform starts the node
    runpy.run_module("gradegap", run_name="__main__", alter_sys=True)
