// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/metrics.h>

#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <mutex>

namespace pathport {

namespace {
const prometheus::Histogram::BucketBoundaries duration_buckets_s
    = { 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10 };
const char* const help_text = "See docs/metrics.md.";
} // namespace

class Metrics::Impl {
public:
    std::shared_ptr<prometheus::Registry> registry
        = std::make_shared<prometheus::Registry>();
    std::unique_ptr<prometheus::Exposer> exposer;
    std::mutex mutex;
    std::map<std::string, prometheus::Family<prometheus::Counter>*> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram>*> histograms;

    prometheus::Counter& counter(const std::string& name, const MetricLabels& labels)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        auto& family = counters[name];
        if (family == nullptr)
            family = &prometheus::BuildCounter().Name(name).Help(help_text).Register(
                *registry);
        return family->Add(labels);
    }

    prometheus::Gauge& gauge(const std::string& name, const MetricLabels& labels)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        auto& family = gauges[name];
        if (family == nullptr)
            family
                = &prometheus::BuildGauge().Name(name).Help(help_text).Register(*registry);
        return family->Add(labels);
    }

    prometheus::Histogram& histogram(const std::string& name, const MetricLabels& labels)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        auto& family = histograms[name];
        if (family == nullptr) {
            family = &prometheus::BuildHistogram().Name(name).Help(help_text).Register(
                *registry);
        }
        return family->Add(labels, duration_buckets_s);
    }
};

Metrics::Metrics()
    : m_impl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

bool Metrics::serve(const Address& address)
{
    try {
        m_impl->exposer = std::make_unique<prometheus::Exposer>(address.to_string(), 1);
    } catch (const std::exception&) {
        return false;
    }
    m_impl->exposer->RegisterCollectable(m_impl->registry);
    return true;
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_impl->registry->Collect());
}

void Metrics::count(const std::string& name, const MetricLabels& labels, double by)
{
    m_impl->counter(name, labels).Increment(by);
}

void Metrics::set(const std::string& name, double value, const MetricLabels& labels)
{
    m_impl->gauge(name, labels).Set(value);
}

void Metrics::observe_seconds(const std::string& name, double seconds,
                              const MetricLabels& labels)
{
    m_impl->histogram(name, labels).Observe(seconds);
}

double Metrics::counter_value(const std::string& name, const MetricLabels& labels) const
{
    return m_impl->counter(name, labels).Value();
}

} // namespace pathport
