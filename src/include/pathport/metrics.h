// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Metrics in the Prometheus form, over prometheus-cpp, which stays hidden.

#pragma once

#include <pathport/settings.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pathport {

/// Label names with their values. Use only labels that take few values.
using MetricLabels = std::map<std::string, std::string>;

/// The metrics of one process. All calls are safe from any thread.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    /// Serves all metrics at `http://address/metrics`. Returns false when it can't listen.
    bool serve(const Address& address);

    /// Adds to a counter; `name` ends in `_total`.
    void count(const std::string& name, const MetricLabels& labels = {}, double by = 1);
    /// Sets a gauge.
    void set(const std::string& name, double value, const MetricLabels& labels = {});
    /// Records a span of seconds in a histogram; `name` ends in `_seconds`.
    void observe_seconds(const std::string& name, double seconds,
                         const MetricLabels& labels = {});

    /// Returns all metrics in the text form, for a listener of the caller's.
    std::string text() const;

    /// Returns the present value of a counter, or 0 when it was never counted.
    double counter_value(const std::string& name, const MetricLabels& labels = {}) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pathport
