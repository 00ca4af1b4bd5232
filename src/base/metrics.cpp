/** \file
 * Implements the metrics. Boost.Accumulators computes sums, counts and quantiles.
 */
#include "base/metrics.h"

#include <algorithm>
#include <array>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace chervildyke {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles{0.5, 0.95, 0.99};

using total = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;
using quantile_estimate = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

std::string escaped(const std::string& value)
{
    std::string text;
    for (const char c : value) {
        if (c == '\\' || c == '"') {
            text += '\\';
        }
        text += c == '\n' ? ' ' : c;
    }
    return text;
}

/** \param common_value replaces the value of each label, unless empty.
 * \return the labels as in the text format, without braces.
 */
std::string label_text(const metric_labels& labels, const std::string& common_value = {})
{
    std::string text;
    for (const auto& [name, value] : labels) {
        text += text.empty() ? "" : ",";
        text += name + "=\"" + escaped(common_value.empty() ? value : common_value) + "\"";
    }
    return text;
}

std::string in_braces(const std::string& labels, const std::string& more = {})
{
    const std::string comma = labels.empty() || more.empty() ? "" : ",";
    return labels.empty() && more.empty() ? std::string() : "{" + labels + comma + more + "}";
}

void write_histogram(std::ostream& out, const std::string& name, const std::string& labels,
                     const histogram& values)
{
    const std::vector<double>& bounds = histogram::bounds();
    for (std::size_t i = 0; i < bounds.size(); ++i) {
        std::ostringstream bound;
        bound << "le=\"" << bounds[i] << "\"";
        out << name << "_bucket" << in_braces(labels, bound.str()) << " "
            << values.cumulative_count(i) << "\n";
    }
    out << name << "_bucket" << in_braces(labels, "le=\"+Inf\"") << " " << values.count() << "\n";
    out << name << "_sum" << in_braces(labels) << " " << values.sum() << "\n";
    out << name << "_count" << in_braces(labels) << " " << values.count() << "\n";
}

void write_quantiles(std::ostream& out, const std::string& name, const std::string& labels,
                     const histogram& values)
{
    for (const double which : quantiles) {
        std::ostringstream quantile;
        quantile << "quantile=\"" << which << "\"";
        out << name << "_quantiles" << in_braces(labels, quantile.str()) << " "
            << values.quantile(which) << "\n";
    }
}

} // namespace

struct histogram::values {
    values() : buckets(bounds().size(), 0)
    {
        for (const double which : quantiles) {
            estimates.emplace_back(acc::quantile_probability = which);
        }
    }

    total all;
    std::vector<quantile_estimate> estimates; // In the order of quantiles.
    std::vector<std::uint64_t> buckets;       // Counts of the single buckets, not cumulative.
};

histogram::histogram() : values_(std::make_unique<values>()) {}

histogram::~histogram() = default;

const std::vector<double>& histogram::bounds()
{
    static const std::vector<double> all{0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.1,
                                         0.2,   0.5,   1.0,   2.0,  5.0,  10.0,  30.0};
    return all;
}

void histogram::observe(double value)
{
    values_->all(value);
    for (quantile_estimate& estimate : values_->estimates) {
        estimate(value);
    }
    const auto bucket = std::lower_bound(bounds().begin(), bounds().end(), value);
    if (bucket != bounds().end()) {
        ++values_->buckets[static_cast<std::size_t>(bucket - bounds().begin())];
    }
}

void histogram::observe(duration span)
{
    observe(std::chrono::duration<double>(span).count());
}

std::uint64_t histogram::count() const
{
    return acc::count(values_->all);
}

double histogram::sum() const
{
    return acc::sum(values_->all);
}

double histogram::quantile(double which) const
{
    const auto found = std::find(quantiles.begin(), quantiles.end(), which);
    if (count() == 0 || found == quantiles.end()) {
        return 0.0;
    }
    return acc::p_square_quantile(
        values_->estimates[static_cast<std::size_t>(found - quantiles.begin())]);
}

std::uint64_t histogram::cumulative_count(std::size_t bound) const
{
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i <= bound; ++i) {
        sum += values_->buckets[i];
    }
    return sum;
}

metrics_registry::metrics_registry(std::size_t max_label_sets) : max_label_sets_(max_label_sets) {}

metrics_registry::~metrics_registry() = default;

template <typename Value>
Value& metrics_registry::find(std::map<std::string, family<Value>>& families,
                              const std::string& name, const metric_labels& labels)
{
    family<Value>& label_sets = families[name];
    const std::string text = label_text(labels);
    if (const auto found = label_sets.find(text); found != label_sets.end()) {
        return found->second;
    }
    const bool may_add = label_sets.size() < max_label_sets_;
    return label_sets[may_add ? text : label_text(labels, "other")];
}

std::uint64_t& metrics_registry::counter(const std::string& name, const metric_labels& labels)
{
    return find(counters_, name, labels);
}

histogram& metrics_registry::distribution(const std::string& name, const metric_labels& labels)
{
    return find(histograms_, name, labels);
}

void metrics_registry::add_gauge(const std::string& name, std::function<double()> read)
{
    gauges_[name] = std::move(read);
}

void metrics_registry::add_gauges(const std::string& name, const std::string& label,
                                  std::function<std::map<std::string, double>()> read)
{
    labelled_gauges_[name] = {label, std::move(read)};
}

std::string metrics_registry::to_text() const
{
    std::ostringstream out;
    for (const auto& [name, label_sets] : counters_) {
        out << "# TYPE " << name << " counter\n";
        for (const auto& [labels, value] : label_sets) {
            out << name << in_braces(labels) << " " << value << "\n";
        }
    }
    for (const auto& [name, read] : gauges_) {
        out << "# TYPE " << name << " gauge\n" << name << " " << read() << "\n";
    }
    for (const auto& [name, gauges] : labelled_gauges_) {
        const std::map<std::string, double> values = gauges.read();
        out << (values.empty() ? "" : "# TYPE " + name + " gauge\n");
        for (const auto& [value_of_label, value] : values) {
            out << name << in_braces(label_text({{gauges.label, value_of_label}})) << " " << value
                << "\n";
        }
    }
    for (const auto& [name, label_sets] : histograms_) {
        out << "# TYPE " << name << " histogram\n";
        for (const auto& [labels, values] : label_sets) {
            write_histogram(out, name, labels, values);
        }
        out << "# TYPE " << name << "_quantiles gauge\n";
        for (const auto& [labels, values] : label_sets) {
            write_quantiles(out, name, labels, values);
        }
    }
    return out.str();
}

} // namespace chervildyke
