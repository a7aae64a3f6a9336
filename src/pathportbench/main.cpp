// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// pathport_bench: runs the benchmarks named on the command line, or all.

#include "bench.h"

#include <tclap/CmdLine.h>

#include <cstddef>
#include <iostream>

namespace bench {

double percentile(const std::vector<double>& sorted, double share)
{
    if (sorted.empty())
        return 0;
    return sorted[static_cast<size_t>(share * static_cast<double>(sorted.size() - 1))];
}

} // namespace bench

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine cmd("Benchmarks of pathport's decisions.", ' ', "0.1.0");
        TCLAP::UnlabeledMultiArg<std::string> names(
            "name", "cell, passes, placement, requests or sizes; all when none is given",
            false, "name", cmd);
        cmd.parse(argc, argv);
        const auto wanted = [&](const std::string& name) {
            const auto& list = names.getValue();
            return list.empty() || std::find(list.begin(), list.end(), name) != list.end();
        };
        if (wanted("cell"))
            bench::run_cell();
        if (wanted("passes"))
            bench::run_passes();
        if (wanted("placement"))
            bench::run_placement();
        if (wanted("requests"))
            bench::run_requests();
        if (wanted("sizes"))
            bench::run_sizes();
        return 0;
    } catch (const TCLAP::ArgException& error) {
        std::cerr << error.error() << " " << error.argId() << "\n";
        return 2;
    }
}
