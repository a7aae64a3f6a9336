# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Seeds that ever failed, each with a line on the cause. CI plays them first."""

# (seed, cause)
FAILED_ONCE = []
