// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Prometheus metrics, implemented with prometheus-cpp (not exposed in this header).

#pragma once

#include <pathport/settings.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pathport {

/// Label names and values. Use only labels of low cardinality.
using MetricLabels = std::map<std::string, std::string>;

/// Metrics registry of one process. All functions are thread-safe.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    /// Serves all metrics at `http://address/metrics`. Returns false if it can't listen.
    bool serve(const Address& address);

    /// Adds `by` to a counter; `name` must end in `_total`.
    void count(const std::string& name, const MetricLabels& labels = {}, double by = 1);
    /// Sets a gauge.
    void set(const std::string& name, double value, const MetricLabels& labels = {});
    /// Records a duration in a histogram; `name` must end in `_seconds`.
    void observe_seconds(const std::string& name, double seconds,
                         const MetricLabels& labels = {});

    /// Returns all metrics in the Prometheus text format, for an HTTP server of the caller.
    std::string text() const;

    /// Returns the current value of a counter, or 0 if it was never incremented.
    double counter_value(const std::string& name, const MetricLabels& labels = {}) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pathport
