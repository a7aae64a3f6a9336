# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Starts processes that end with the soak, also when it is killed."""

import ctypes
import signal
import subprocess

PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None)


def _end_with_parent():
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def start(command, log_path, folder=None):
    """Returns the started process; its output is appended to the log."""
    with open(log_path, "ab") as log:
        return subprocess.Popen(command, cwd=folder, stdout=log, stderr=log,
                                preexec_fn=_end_with_parent)
