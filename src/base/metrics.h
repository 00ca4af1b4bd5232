/** \file
 * Defines the metrics of a process: counters, gauges and histograms, written as Prometheus text.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace chervildyke {

/** Label names and values, in the order in which they are written. */
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/** A distribution of values over Boost.Accumulators. */
class histogram {
  public:
    histogram();
    ~histogram();
    histogram(const histogram&) = delete;
    histogram& operator=(const histogram&) = delete;

    void note(double value);
    void note(duration span); // In seconds.

    std::uint64_t count() const;
    double sum() const;

    /** \return an estimate of the 0.5, 0.95 or 0.99 quantile; 0 without values. */
    double quantile(double which) const;

    /** \return how many values were at most the bound with this index. */
    std::uint64_t at_most(std::size_t bound) const;

    /** \return the upper bounds of the buckets, in seconds. */
    static const std::vector<double>& bounds();

  private:
    struct values;
    std::unique_ptr<values> values_;
};

/** Holds a process's metrics. Each metric keeps a bounded number of label sets; further ones are
 * counted together under the value "other".
 */
class metrics_registry {
  public:
    explicit metrics_registry(std::size_t max_label_sets = 256);
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;

    /** \return the counter; raise it by adding to it. It lives as long as the registry. */
    std::uint64_t& counter(const std::string& name, const metric_labels& labels = {});

    histogram& distribution(const std::string& name, const metric_labels& labels = {});

    /** Adds a value that is read when the metrics are written. */
    void gauge(const std::string& name, std::function<double()> read);

    /** \return all metrics in Prometheus' text form. */
    std::string to_text() const;

  private:
    template <typename Value>
    using family = std::map<std::string, Value>; // By label text.

    template <typename Value>
    Value& find(std::map<std::string, family<Value>>& families, const std::string& name,
                const metric_labels& labels);

    std::size_t max_label_sets_;
    std::map<std::string, family<std::uint64_t>> counters_;
    std::map<std::string, family<histogram>> histograms_;
    std::map<std::string, std::function<double()>> gauges_;
};

} // namespace chervildyke
