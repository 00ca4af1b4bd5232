/** \file
 * Defines case_record, which writes what was sent, answered and run to record.txt.
 */
#pragma once

#include <cstdio>
#include <fstream>
#include <string>

#include "base/clock.h"

namespace chervildyke::review {

/** Exit codes of a case. */
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

/** Appends lines, each with the time since the start in seconds. */
class case_record {
  public:
    explicit case_record(const std::string& file)
        : output_(file), started_at_(monotonic_clock::now())
    {
    }

    double now_s() const
    {
        return std::chrono::duration<double>(monotonic_clock::now() - started_at_).count();
    }

    void write(const std::string& line)
    {
        char time[16];
        std::snprintf(time, sizeof(time), "%8.3f  ", now_s());
        output_ << time << line << std::endl;
    }

  private:
    std::ofstream output_;
    time_point started_at_;
};

} // namespace chervildyke::review
