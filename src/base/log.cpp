/** \file
 * Implements logger with Boost.Log.
 */
#include "base/log.h"

#include <atomic>

#include <boost/log/expressions.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/log/utility/setup/file.hpp>

namespace chervildyke {

namespace {

std::atomic<log_level> lowest_level{log_level::warning};

log_level parse_level(const std::string& level)
{
    if (level == "trace") {
        return log_level::trace;
    }
    if (level == "debug") {
        return log_level::debug;
    }
    if (level == "warning") {
        return log_level::warning;
    }
    if (level == "error") {
        return log_level::error;
    }
    return log_level::info;
}

auto line_format()
{
    namespace expr = boost::log::expressions;
    return expr::stream << expr::format_date_time<boost::posix_time::ptime>("TimeStamp",
                                                                            "%Y-%m-%dT%H:%M:%S.%f")
                        << " " << boost::log::trivial::severity << " " << expr::smessage;
}

} // namespace

void start_log(const std::string& level, const std::string& file)
{
    lowest_level = parse_level(level);
    boost::log::add_common_attributes();
    if (file.empty()) {
        boost::log::add_console_log(std::cerr, boost::log::keywords::format = line_format());
        return;
    }
    boost::log::add_file_log(boost::log::keywords::file_name = file,
                             boost::log::keywords::auto_flush = true,
                             boost::log::keywords::format = line_format());
}

bool logger::enabled(log_level level)
{
    return level >= lowest_level.load(std::memory_order_relaxed);
}

void logger::put(log_level level, const std::string& text) const
{
    switch (level) {
    case log_level::trace:
        BOOST_LOG_TRIVIAL(trace) << prefix_ << ": " << text;
        break;
    case log_level::debug:
        BOOST_LOG_TRIVIAL(debug) << prefix_ << ": " << text;
        break;
    case log_level::info:
        BOOST_LOG_TRIVIAL(info) << prefix_ << ": " << text;
        break;
    case log_level::warning:
        BOOST_LOG_TRIVIAL(warning) << prefix_ << ": " << text;
        break;
    case log_level::error:
        BOOST_LOG_TRIVIAL(error) << prefix_ << ": " << text;
        break;
    }
}

} // namespace chervildyke
