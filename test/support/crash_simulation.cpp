/** \file
 * Implements crash_simulation.
 */
#include "support/crash_simulation.h"

#include <algorithm>
#include <utility>

namespace chervildyke::test {

namespace {

constexpr duration step = 10ms;
constexpr duration sound_time = 26s;          // Sound prompts before the caller's pause.
constexpr duration burst_time = 28500ms;      // From the start.
constexpr duration burst_length = 100ms;      // In which the crashing prompts come.
constexpr duration total_time = 60s;          // Of a run.
constexpr duration sound_interval = 1s;       // Between two sound prompts at a node.
constexpr duration prompt_interval = 500ms;   // Between two crashing prompts after the burst.
constexpr duration first_event_time = 110ms;  // After sending.
constexpr duration proof_time = 270ms;        // After sending: the third event.
constexpr duration crash_check_time = 60ms;   // Until the node knows that the server has ended.
constexpr duration exchange_interval = 100ms; // Between two states that a node sends.
constexpr duration settle_window = 3s;        // settle-window-ms of the users' sites.
constexpr duration max_turn_wait = 1s;
constexpr duration max_untested_wait = 100ms;
constexpr std::size_t max_receivers = 8; // Of one state.
constexpr double lost_datagrams = 0.05;
constexpr std::size_t max_reports = 32;
constexpr std::size_t max_crashes = 64;
constexpr std::size_t fifth = 5;
constexpr time_point start{1000s};

} // namespace

crash_simulation::crash_simulation(const crash_scenario& scenario)
    : scenario_(scenario), random_(seeded_random(scenario.seed)), now_(start),
      burst_at_(start + burst_time)
{
    for (std::size_t i = 0; i < scenario.nodes; ++i) {
        node& added = nodes_.emplace_back();
        added.turns = std::make_unique<prompt_turns>(seeded_random(scenario.seed * 1000 + i));
        added.turns->set_nodes(scenario.nodes);
    }
}

std::vector<std::string> crash_simulation::sound_prompt() const
{
    std::vector<std::string> parts{"sound"};
    while (parts.size() < scenario_.sound_parts) {
        parts.push_back("sound" + std::to_string(parts.size()));
    }
    return parts;
}

std::vector<std::string> crash_simulation::bad_prompt(std::size_t number) const
{
    std::vector<std::string> parts = sound_prompt();
    if (scenario_.varied_first_part) {
        parts.front() = "first" + std::to_string(number);
    }
    parts.push_back("bad" + std::to_string(number % scenario_.bad_parts));
    return parts;
}

void crash_simulation::arrive(std::size_t at, bool bad)
{
    call& added = calls_.emplace_back();
    added.node = at % nodes_.size();
    added.bad = bad;
    added.arrived_at = now_;
    added.parts = bad ? bad_prompt(bad_calls_++) : sound_prompt();
    outcome_.sound_calls += !bad && now_ >= burst_at_ ? 1 : 0;
}

/** \return true if the call has ended. */
bool crash_simulation::try_to_send(call& subject)
{
    node& at = nodes_[subject.node];
    const prompt_verdict verdict = at.evidence.judge(subject.parts, now_);
    const bool refused =
        verdict.standing == prompt_standing::blocked || now_ - subject.arrived_at > max_turn_wait;
    if (refused) {
        outcome_.sound_refused += !subject.bad && subject.arrived_at >= burst_at_ ? 1 : 0;
        return true;
    }
    if (scenario_.bounded && verdict.standing != prompt_standing::sound) {
        subject.turn = at.turns->take(verdict, now_);
        const bool waited = verdict.standing == prompt_standing::untested &&
                            now_ - subject.arrived_at >= max_untested_wait;
        if (!subject.turn && !waited) {
            return false;
        }
    }
    const bool is_sound_after_burst = !subject.bad && subject.arrived_at >= burst_at_;
    outcome_.sound_waited += is_sound_after_burst && now_ > subject.arrived_at + step ? 1 : 0;
    ++subject.sends;
    subject.sent_at = now_;
    subject.server = ++servers_;
    if (subject.bad && fifth_crash_ && now_ > *fifth_crash_ + settle_window) {
        ++outcome_.late_arrivals;
    }
    return false;
}

/** \return true if the call has ended. */
bool crash_simulation::advance_attempt(call& subject)
{
    crash_evidence& evidence = nodes_[subject.node].evidence;
    if (subject.crashed_at) {
        if (now_ < *subject.crashed_at + crash_check_time) {
            return false;
        }
        evidence.note_crash({std::to_string(subject.server), 1}, subject.parts, now_);
        subject.turn.reset();
        subject.crashed_at.reset();
        subject.sent_at.reset();
        subject.arrived_at = now_; // Of the second attempt.
        return subject.sends > 1 || !evidence.judge(subject.parts, now_).may_retry;
    }
    if (subject.bad && now_ - *subject.sent_at == first_event_time &&
        random_fraction(random_) < scenario_.crash_probability) {
        subject.crashed_at = now_;
        first_crash_ = first_crash_.value_or(now_);
        if (++outcome_.crashes == fifth) {
            fifth_crash_ = now_;
        }
        return false;
    }
    if (now_ - *subject.sent_at < proof_time) {
        return false;
    }
    evidence.note_answer(subject.parts, now_);
    return true;
}

bool crash_simulation::advance(call& subject)
{
    return subject.sent_at ? advance_attempt(subject) : try_to_send(subject);
}

void crash_simulation::deliver()
{
    for (const datagram& sent : std::exchange(datagrams_, {})) {
        nodes_[sent.to].evidence.merge(*sent.reports, now_);
    }
}

/** Each node sends its state to some others. */
void crash_simulation::exchange()
{
    for (std::size_t from = 0; from < nodes_.size(); ++from) {
        const auto reports = std::make_shared<const std::vector<part_report>>(
            nodes_[from].evidence.next_reports(max_reports, max_crashes, now_));
        const std::size_t receivers = std::min(max_receivers, nodes_.size() - 1);
        const std::size_t first = random_below(random_, nodes_.size());
        for (std::size_t i = 0; i < receivers; ++i) {
            const std::size_t to = (first + i) % nodes_.size();
            if (to != from && random_fraction(random_) >= lost_datagrams) {
                datagrams_.push_back({to, reports});
            }
        }
    }
}

bool crash_simulation::all_know() const
{
    return std::all_of(nodes_.begin(), nodes_.end(), [this](const node& at) {
        for (std::size_t i = 0; i < scenario_.bad_parts; ++i) {
            if (at.evidence.judge(bad_prompt(i), now_).standing != prompt_standing::blocked) {
                return false;
            }
        }
        return true;
    });
}

crash_outcome crash_simulation::run()
{
    std::size_t arrived_in_burst = 0;
    std::size_t sound = 0;
    for (; now_ < start + total_time; now_ += step) {
        deliver();
        const duration elapsed = now_ - start;
        const bool pauses = elapsed >= sound_time && now_ < burst_at_ + sound_interval;
        const bool sounds = !pauses && (scenario_.answered_before || now_ >= burst_at_);
        const duration interval =
            std::max<duration>(step, sound_interval / nodes_.size() / step * step);
        if (sounds && elapsed % interval == duration::zero()) {
            arrive(sound++, false);
        }
        while (now_ >= burst_at_ && arrived_in_burst < scenario_.burst &&
               now_ - burst_at_ >= burst_length * arrived_in_burst / scenario_.burst) {
            arrive(arrived_in_burst++, true);
        }
        if (now_ > burst_at_ + 1s && elapsed % prompt_interval == duration::zero()) {
            arrive(bad_calls_, true);
        }
        std::erase_if(calls_, [this](call& subject) { return advance(subject); });
        if (elapsed % exchange_interval == duration::zero()) {
            exchange();
        }
        if (first_crash_ && !outcome_.known_after && all_know()) {
            outcome_.known_after = now_ - *first_crash_;
        }
    }
    return outcome_;
}

} // namespace chervildyke::test
