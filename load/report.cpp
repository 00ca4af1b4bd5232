/** \file
 * Implements the HTML page of results, with plots in SVG.
 */
#include "load/report.h"

#include <algorithm>
#include <sstream>

#include <nlohmann/json.hpp>

namespace chervildyke::load {

using nlohmann::json;

namespace {

constexpr int plot_width = 420;
constexpr int bar_height = 18;
constexpr int label_width = 260;

std::string escaped(const std::string& text)
{
    std::string safe;
    for (const char each : text) {
        safe += each == '<'   ? "&lt;"
                : each == '>' ? "&gt;"
                : each == '&' ? "&amp;"
                              : std::string(1, each);
    }
    return safe;
}

/** One bar for each figure whose name ends so. */
void plot(std::ostringstream& page, const json& figures, const std::string& suffix)
{
    std::vector<std::pair<std::string, double>> bars;
    double highest = 0;
    for (const auto& [name, value] : figures.items()) {
        if (name.ends_with(suffix) && value.is_number()) {
            bars.emplace_back(name, value.get<double>());
            highest = std::max(highest, bars.back().second);
        }
    }
    if (bars.empty() || highest <= 0) {
        return;
    }
    const std::size_t height = bars.size() * bar_height + 4;
    page << "<svg width='" << label_width + plot_width + 90 << "' height='" << height << "'>";
    int top = 2;
    for (const auto& [name, value] : bars) {
        const double width = plot_width * value / highest;
        page << "<text x='0' y='" << top + 13 << "'>" << escaped(name) << "</text><rect x='"
             << label_width << "' y='" << top + 2 << "' width='" << width << "' height='"
             << bar_height - 4 << "'/><text x='" << label_width + width + 4 << "' y='" << top + 13
             << "'>" << value << "</text>";
        top += bar_height;
    }
    page << "</svg>";
}

void show(std::ostringstream& page, const json& result)
{
    const bool passed = result.value("passed", false);
    page << "<h2>" << escaped(result.value("name", "")) << " <small>seed "
         << result.value("seed", 0) << "</small> <span class='" << (passed ? "good" : "bad") << "'>"
         << (passed ? "passed" : "failed") << "</span></h2>";
    if (const std::string first = result.value("first_violation", ""); !first.empty()) {
        page << "<p class='bad'>" << escaped(first) << "</p>";
    }
    page << "<table><tr><th>figure<th>target<th>measured<th>verdict</tr>";
    for (const json& bound : result.value("bounds", json::array())) {
        const bool met = bound.value("met", false);
        page << "<tr><td>" << escaped(bound.value("figure", "")) << "<td>"
             << escaped(bound.value("target", "")) << "<td>" << bound["measured"].dump()
             << "<td class='" << (met ? "good'>met" : "bad'>missed") << "</tr>";
    }
    page << "</table>";
    const json figures = result.value("figures", json::object());
    for (const char* suffix : {"first_token_ms.p95", "order_ms.p95", "goodput_per_s"}) {
        plot(page, figures, suffix);
    }
}

} // namespace

std::string html_report(const std::vector<std::string>& results)
{
    std::ostringstream page;
    page << "<!doctype html><meta charset='utf-8'><title>chervildyke experiments</title><style>"
            "body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px "
            "solid #ccc;padding:2px 8px;text-align:left}.good{color:#070}.bad{color:#b00}"
            "rect{fill:#69c}text{font-size:12px}svg{display:block;margin-top:1em}</style>"
            "<h1>Experiments</h1>";
    for (const std::string& text : results) {
        const json result = json::parse(text, nullptr, false);
        if (result.is_object()) {
            show(page, result);
        }
        else {
            page << "<p class='bad'>a result that can't be read</p>";
        }
    }
    return page.str();
}

} // namespace chervildyke::load
