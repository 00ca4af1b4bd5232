/** \file
 * Defines logger, which writes log lines with the prefix of one component. Decisions and changes of
 * state are logged in a structured form by event_log (base/event_log.h).
 */
#pragma once

#include <sstream>
#include <string>

namespace chervildyke {

enum class log_level { trace, debug, info, warning, error };

/** Configures Boost.Log for the process. Until it is called, warnings and errors are written.
 * \param level the lowest level to write: trace, debug, info, warning or error; else info is used.
 * \param file the file to write to; standard error if empty.
 */
void start_log(const std::string& level, const std::string& file);

/** Writes log lines that begin with a fixed prefix. Cheap to copy. */
class logger {
  public:
    /** \param prefix the component that the lines name. */
    explicit logger(const char* prefix) : prefix_(prefix) {}

    template <typename... Parts>
    void debug(const Parts&... parts) const
    {
        write(log_level::debug, parts...);
    }
    template <typename... Parts>
    void info(const Parts&... parts) const
    {
        write(log_level::info, parts...);
    }
    template <typename... Parts>
    void warning(const Parts&... parts) const
    {
        write(log_level::warning, parts...);
    }
    template <typename... Parts>
    void error(const Parts&... parts) const
    {
        write(log_level::error, parts...);
    }

  private:
    template <typename... Parts>
    void write(log_level level, const Parts&... parts) const
    {
        if (!enabled(level)) {
            return;
        }
        std::ostringstream text;
        (text << ... << parts);
        put(level, text.str());
    }
    static bool enabled(log_level level);
    void put(log_level level, const std::string& text) const;

    const char* prefix_;
};

} // namespace chervildyke
