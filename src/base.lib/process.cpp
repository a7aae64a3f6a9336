// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/process.h>

#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <ctime>
#include <fstream>

namespace pathport {

namespace {

constexpr int64_t millis_per_second = 1000;
constexpr int64_t micros_per_milli = 1000;
constexpr int64_t nanos_per_milli = 1000000;
constexpr int64_t bytes_per_kb = 1024;

sigset_t termination_signals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

Millis to_millis(const timeval& time)
{
    return Millis(time.tv_sec * millis_per_second + time.tv_usec / micros_per_milli);
}

} // namespace

void block_end_signals()
{
    const sigset_t set = termination_signals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    signal(SIGPIPE, SIG_IGN);
}

bool end_requested(Millis timeout)
{
    const sigset_t set = termination_signals();
    timespec wait_time {};
    wait_time.tv_sec = timeout.count() / millis_per_second;
    wait_time.tv_nsec = timeout.count() % millis_per_second * nanos_per_milli;
    return sigtimedwait(&set, nullptr, &wait_time) > 0;
}

ProcessUsage process_usage()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    int64_t total_pages = 0;
    int64_t resident_pages = 0;
    std::ifstream("/proc/self/statm") >> total_pages >> resident_pages;
    return { to_millis(usage.ru_utime) + to_millis(usage.ru_stime),
             resident_pages * sysconf(_SC_PAGESIZE) / bytes_per_kb };
}

} // namespace pathport
