/** \file
 * Implements html_report, with bar charts in SVG.
 */
#include "load/html_report.h"

#include <algorithm>
#include <sstream>

#include <nlohmann/json.hpp>

namespace chervildyke::load {

using nlohmann::json;

namespace {

// Pixels.
constexpr int plot_width = 420;
constexpr int bar_height = 18;
constexpr int label_width = 260;
constexpr int value_width = 90;
constexpr int text_baseline = 13; // From the top of a bar.

std::string escape_html(const std::string& text)
{
    std::string escaped;
    for (const char character : text) {
        escaped += character == '<'   ? "&lt;"
                   : character == '>' ? "&gt;"
                   : character == '&' ? "&amp;"
                                      : std::string(1, character);
    }
    return escaped;
}

/** Writes a bar chart of the figures whose names end with the suffix. Writes nothing if none of
 * them is above zero.
 */
void write_bar_chart(std::ostringstream& page, const json& figures, const std::string& suffix)
{
    std::vector<std::pair<std::string, double>> bars;
    double max_value = 0;
    for (const auto& [name, value] : figures.items()) {
        if (name.ends_with(suffix) && value.is_number()) {
            bars.emplace_back(name, value.get<double>());
            max_value = std::max(max_value, bars.back().second);
        }
    }
    if (bars.empty() || max_value <= 0) {
        return;
    }
    const std::size_t height = bars.size() * bar_height + 4;
    page << "<svg width='" << label_width + plot_width + value_width << "' height='" << height
         << "'>";
    int top = 2;
    for (const auto& [name, value] : bars) {
        const double width = plot_width * value / max_value;
        page << "<text x='0' y='" << top + text_baseline << "'>" << escape_html(name)
             << "</text><rect x='" << label_width << "' y='" << top + 2 << "' width='" << width
             << "' height='" << bar_height - 4 << "'/><text x='" << label_width + width + 4
             << "' y='" << top + text_baseline << "'>" << value << "</text>";
        top += bar_height;
    }
    page << "</svg>";
}

void write_result(std::ostringstream& page, const json& result)
{
    const bool passed = result.value("passed", false);
    page << "<h2>" << escape_html(result.value("name", "")) << " <small>seed "
         << result.value("seed", 0) << "</small> <span class='" << (passed ? "good" : "bad") << "'>"
         << (passed ? "passed" : "failed") << "</span></h2>";
    if (const std::string first = result.value("first_violation", ""); !first.empty()) {
        page << "<p class='bad'>" << escape_html(first) << "</p>";
    }
    page << "<table><tr><th>figure<th>target<th>measured<th>result</tr>";
    for (const json& bound : result.value("bounds", json::array())) {
        const bool met = bound.value("met", false);
        page << "<tr><td>" << escape_html(bound.value("figure", "")) << "<td>"
             << escape_html(bound.value("target", "")) << "<td>" << bound["measured"].dump()
             << "<td class='" << (met ? "good'>met" : "bad'>missed") << "</tr>";
    }
    page << "</table>";
    const json figures = result.value("figures", json::object());
    for (const char* suffix : {"first_token_ms.p95", "order_ms.p95", "goodput_per_s"}) {
        write_bar_chart(page, figures, suffix);
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
            write_result(page, result);
        }
        else {
            page << "<p class='bad'>expected a JSON object with an experiment's result, found "
                    "another text</p>";
        }
    }
    return page.str();
}

} // namespace chervildyke::load
