# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""Seeds that ever failed, each with the size that it was played at and a line on the cause."""

from dataclasses import dataclass

from .schedule import Size

HUNT = Size(daemons=4, workers=8, load_s=25, jobs_per_s=4, faults_per_s=1.6)
HARD_HUNT = Size(daemons=4, workers=8, load_s=25, jobs_per_s=5, faults_per_s=2.5)
WIDE_HUNT = Size(daemons=7, workers=16, load_s=25, jobs_per_s=8, faults_per_s=1.6)

CANCEL_HUNT = Size(daemons=4, workers=8, load_s=25, jobs_per_s=3.2, faults_per_s=2.5,
                   silences_per_s=0.4, cancels_per_s=1.5)

SHARED_WRITE = ("an accepted job was in no row: the probe of an overdue write of several rows "
                "found the first one, put by an earlier write, and took all of them for written")

# Seen at 7.0 to 8.3 s of the calm time in 4 of 4 plays of f1d0172 and 1 of 2 of 8db4484, in none of 3
# of 8ff634e (at most 1.6 s). The pages allow about 7 s after the last fault, the soak 40 s.
LATE_LEASES = ("no task started for over 8 s: each new leader waited out the leases that workers "
               "which had long gone from the list might have held")

ROUTE_HUNT = Size(daemons=4, workers=8, load_s=25, jobs_per_s=2, faults_per_s=0,
                  silences_per_s=0.3, cancels_per_s=0.2, routes_per_s=0.6)

# Four daemons at once served a dropped route 3.0 to 3.25 s after it was dropped and refused an added
# one 2.0 to 2.1 s after it was added, all in touch; their logs tell of a watch that was waited for.
LATE_CONFIGURATION = ("daemons went by an old configuration: the held read that was to tell of the "
                      "new one was on a connection that had gone silent")


RESTART_HUNT = Size(daemons=4, workers=8, load_s=20, jobs_per_s=3.2, faults_per_s=0,
                    silences_per_s=0, routes_per_s=0, restarts_per_s=0.3)

# Seen in both seeds that were played, 9 times in 902 starts, with no fault but restarts.
ONE_ID_TWO_LIVES = ("tasks that were done were started again: their worker had come back under its id, "
                    "and was told that its first ends were seen, as those of its earlier life were")


CRASH_HUNT = Size(daemons=4, workers=8, load_s=15, jobs_per_s=3.2, faults_per_s=0, silences_per_s=0,
                  cancels_per_s=0, routes_per_s=0, crashers_per_s=0.3, resizes_per_s=0.3)

# Seen in each seed that was played, with no fault but tasks that crash their workers.
NO_END_NO_COUNT = ("tasks that crash their workers were started again and again: only ends that "
                   "workers list counted against them")


REFUSAL_HUNT = Size(daemons=4, workers=8, load_s=20, jobs_per_s=3.2, faults_per_s=0, silences_per_s=0,
                    cancels_per_s=0, routes_per_s=0, refusals_per_s=0.6)

REFUSED_IS_NOT_OVER = ("tasks were started again while they ran: a worker that had announced its end and "
                       "whose entry had lapsed refused connections, which was taken for its end")


@dataclass(frozen=True)
class FailedSeed:
    """A seed that broke a promise once."""
    seed: int
    size: Size
    cause: str


# The seed that shows its cause most often comes first. The order of events differs from play to
# play, so a seed shows its cause only at times.
FAILED_ONCE = (
    FailedSeed(4009, HUNT, SHARED_WRITE),
    FailedSeed(3002, HUNT, SHARED_WRITE),
    FailedSeed(9004, HARD_HUNT, SHARED_WRITE),
    FailedSeed(11003, WIDE_HUNT, SHARED_WRITE),
    FailedSeed(43000, CANCEL_HUNT, LATE_LEASES),
    FailedSeed(5103, ROUTE_HUNT, LATE_CONFIGURATION),
    FailedSeed(7001, RESTART_HUNT, ONE_ID_TWO_LIVES),
    FailedSeed(7000, RESTART_HUNT, ONE_ID_TWO_LIVES),
    FailedSeed(8101, CRASH_HUNT, NO_END_NO_COUNT),
    FailedSeed(9301, REFUSAL_HUNT, REFUSED_IS_NOT_OVER),
    FailedSeed(9310, REFUSAL_HUNT, REFUSED_IS_NOT_OVER),
    FailedSeed(9304, REFUSAL_HUNT, REFUSED_IS_NOT_OVER),
)


def one_of_each_cause():
    """Returns the first seed of each cause, in the order of the list."""
    first = {}
    for failed in FAILED_ONCE:
        first.setdefault(failed.cause, failed)
    return list(first.values())
