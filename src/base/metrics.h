/** \file
 * Defines the metrics of a process: counters, gauges and histograms in the Prometheus text format.
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

/** Counts values in buckets and estimates quantiles. */
class histogram {
  public:
    histogram();
    ~histogram();
    histogram(const histogram&) = delete;
    histogram& operator=(const histogram&) = delete;

    /** Adds a value. */
    void observe(double value);
    void observe(duration span); // Adds the span in seconds.

    std::uint64_t count() const;
    double sum() const;

    /** \param which 0.5, 0.95 or 0.99.
     * \return an estimate of the quantile; 0 without values or for another quantile.
     */
    double quantile(double which) const;

    /** \param bound an index into bounds().
     * \return the number of values that are at most this bound.
     */
    std::uint64_t cumulative_count(std::size_t bound) const;

    /** \return the upper bounds of the buckets, which are chosen for durations in seconds. */
    static const std::vector<double>& bounds();

  private:
    struct values;
    std::unique_ptr<values> values_;
};

/** Holds the metrics of a process. The number of label sets of each metric is limited, so that
 * labels with many values can't exhaust memory; all further label sets share one whose values are
 * "other".
 */
class metrics_registry {
  public:
    explicit metrics_registry(std::size_t max_label_sets = 256);
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;

    /** \return the counter, which callers increment. The first call for a name and labels creates
     * it with the value 0. The reference is valid as long as the registry.
     */
    std::uint64_t& counter(const std::string& name, const metric_labels& labels = {});

    /** \return the histogram. The first call for a name and labels creates it. The reference is
     * valid as long as the registry.
     */
    histogram& distribution(const std::string& name, const metric_labels& labels = {});

    /** Adds a gauge, or replaces the gauge of this name.
     * \param read returns the value; called whenever the metrics are written.
     */
    void add_gauge(const std::string& name, std::function<double()> read);

    /** Adds gauges that differ in the value of one label. Nothing is written while there are none.
     * \param read returns their values by that of the label.
     */
    void add_gauges(const std::string& name, const std::string& label,
                    std::function<std::map<std::string, double>()> read);

    /** \return all metrics in the Prometheus text format. */
    std::string to_text() const;

  private:
    template <typename Value>
    using family = std::map<std::string, Value>; // By the text of the label set.

    template <typename Value>
    Value& find(std::map<std::string, family<Value>>& families, const std::string& name,
                const metric_labels& labels);

    std::size_t max_label_sets_;
    std::map<std::string, family<std::uint64_t>> counters_;
    std::map<std::string, family<histogram>> histograms_;
    std::map<std::string, std::function<double()>> gauges_;

    struct labelled_gauges {
        std::string label;
        std::function<std::map<std::string, double>()> read;
    };
    std::map<std::string, labelled_gauges> labelled_gauges_;
};

} // namespace chervildyke
