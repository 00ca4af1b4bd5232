/** \file
 * Implements prompt_turns.
 */
#include "routing/prompt_turns.h"

#include <algorithm>
#include <utility>

namespace chervildyke {

struct prompt_turns::turn::counts {
    std::map<std::string, std::map<std::uint64_t, time_point>> starts; // By part and turn.

    std::size_t starting(const std::string& part, time_point since) const
    {
        const auto found = starts.find(part);
        if (found == starts.end()) {
            return 0;
        }
        return static_cast<std::size_t>(
            std::count_if(found->second.begin(), found->second.end(),
                          [since](const auto& start) { return start.second > since; }));
    }
};

prompt_turns::turn::turn(std::shared_ptr<counts> owner, std::uint64_t id,
                         std::vector<std::string> parts)
    : counts_(std::move(owner)), id_(id), parts_(std::move(parts))
{
}

prompt_turns::turn::~turn()
{
    for (const std::string& part : parts_) {
        const auto found = counts_->starts.find(part);
        if (found == counts_->starts.end()) {
            continue;
        }
        found->second.erase(id_);
        if (found->second.empty()) {
            counts_->starts.erase(found);
        }
    }
}

prompt_turns::prompt_turns(random_source random, prompt_turn_settings settings)
    : random_(std::move(random)), settings_(settings), counts_(std::make_shared<turn::counts>())
{
}

/** Draws, once in each trial time, whether this node may try prompts with these parts. */
bool prompt_turns::may_try(const std::vector<std::string>& parts, time_point now)
{
    std::erase_if(draws_, [&](const auto& entry) {
        return now - entry.second.drawn_at >= settings_.trial_time;
    });
    const auto [draw, is_new] = draws_.try_emplace(parts);
    if (is_new) {
        draw->second.drawn_at = now;
        draw->second.allowed =
            random_fraction(random_) * static_cast<double>(nodes_) < settings_.max_trial_nodes;
    }
    return draw->second.allowed;
}

std::unique_ptr<prompt_turns::turn> prompt_turns::take(const prompt_verdict& verdict,
                                                       time_point now)
{
    if (verdict.standing == prompt_standing::blocked) {
        return nullptr;
    }
    const bool untested = verdict.standing == prompt_standing::untested;
    const std::size_t limit = untested ? settings_.max_untested : 1;
    const duration counted = untested ? settings_.untested_time : settings_.trial_time;
    const bool free =
        std::all_of(verdict.unproven.begin(), verdict.unproven.end(), [&](const std::string& part) {
            return counts_->starting(part, now - counted) < limit;
        });
    if (!free) {
        return nullptr;
    }
    const bool drawn =
        verdict.standing != prompt_standing::doubtful || may_try(verdict.unproven, now);
    if (!drawn) {
        return nullptr;
    }
    const std::uint64_t id = ++next_id_;
    for (const std::string& part : verdict.unproven) {
        counts_->starts[part].emplace(id, now);
    }
    return std::unique_ptr<turn>(new turn(counts_, id, verdict.unproven));
}

} // namespace chervildyke
