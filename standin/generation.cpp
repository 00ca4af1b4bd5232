/** \file
 * Implements the continuous batch of the engine stand-in.
 */
#include "standin/generation.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "standin/answer_token.h"

namespace chervildyke::standin {

namespace asio = boost::asio;

namespace {

constexpr duration attempts_kept = 30s;
constexpr duration stall_poll = 20ms;
constexpr std::size_t queue_limit_batches = 8;
constexpr std::uint32_t characters_per_token = 4;

std::size_t batch_limit(const schema::standin_engine_settings& settings)
{
    return settings.batch_limit() == 0 ? 32 : settings.batch_limit();
}

duration microseconds(double count)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::micro>(count));
}

} // namespace

std::string attempt::event(std::uint32_t sequence) const
{
    const std::uint32_t place = call.prior_tokens() + sequence;
    const bool has_token = place < answer_tokens;
    const bool last = sequence + 1 == chunks;
    // Written by hand: protobuf's JSON costs more than all else that a stand-in does for a token.
    std::string json = "data: {\"attempt_id\":\"" + call.attempt_id() +
                       "\",\"sequence\":" + std::to_string(sequence) + ",\"text\":\"" +
                       (has_token ? answer_token(subject, place) : "") +
                       "\",\"tokens\":" + (has_token ? "1" : "0");
    if (sequence == 0) {
        json += ",\"cached_tokens\":" + std::to_string(cached_tokens);
    }
    if (last) {
        const bool whole = answer_tokens == answer_length(subject);
        json +=
            std::string(R"(,"last":true,"finish_reason":")") + (whole ? "stop" : "length") + '"';
    }
    return json + "}\n\n";
}

generation::generation(asio::any_io_executor executor,
                       const schema::standin_engine_settings& settings, generation_hooks hooks)
    : executor_(std::move(executor)), settings_(settings), hooks_(std::move(hooks))
{
}

std::shared_ptr<attempt> generation::find(const std::string& attempt_id) const
{
    const auto found = attempts_.find(attempt_id);
    return found == attempts_.end() ? nullptr : found->second;
}

std::shared_ptr<attempt> generation::start(const schema::engine_call& call, prefix_cache& cache)
{
    if (auto known = find(call.attempt_id())) {
        return known;
    }
    if (stopped_ || queue_.size() >= batch_limit(settings_) * queue_limit_batches) {
        return nullptr;
    }
    auto made = std::make_shared<attempt>();
    made->call = call;
    made->subject = answer_subject(call.prompt());
    made->answer_tokens = answer_length(made->subject);
    if (call.max_tokens() > 0) {
        made->answer_tokens = std::min(made->answer_tokens, call.max_tokens());
    }
    made->chunks =
        made->answer_tokens > call.prior_tokens() ? made->answer_tokens - call.prior_tokens() : 1;
    made->arrival = ++arrivals_;
    const std::vector<std::uint64_t> prefixes(call.prefix_hashes().begin(),
                                              call.prefix_hashes().end());
    const std::size_t hits = cache.use(prefixes);
    const auto prompt_tokens =
        static_cast<std::uint32_t>(call.prompt().size()) / characters_per_token;
    if (!prefixes.empty()) {
        made->cached_tokens = static_cast<std::uint32_t>(prompt_tokens * hits / prefixes.size());
    }
    attempts_[call.attempt_id()] = made;
    queue_.push_back(made);
    std::stable_sort(queue_.begin(), queue_.end(), [](const auto& left, const auto& right) {
        return left->call.priority() != right->call.priority()
                   ? left->call.priority() < right->call.priority()
                   : left->arrival > right->arrival;
    });
    if (!active_) {
        active_ = true;
        asio::co_spawn(executor_, run(), asio::detached);
    }
    return made;
}

void generation::cancel(const std::string& attempt_id)
{
    if (const auto found = find(attempt_id)) {
        std::erase(running_, found);
        std::erase(queue_, found);
        end(*found, attempt_state::cancelled);
    }
}

void generation::stop()
{
    stopped_ = true;
    for (const auto& each : running_) {
        end(*each, attempt_state::broken);
    }
    for (const auto& each : queue_) {
        end(*each, attempt_state::broken);
    }
    running_.clear();
    queue_.clear();
}

duration generation::token_time() const
{
    const auto running = static_cast<double>(std::max<std::size_t>(running_.size(), 1));
    return microseconds(
        (settings_.token_time_us() + settings_.token_time_per_running_us() * running) *
        hooks_.slowdown());
}

asio::awaitable<void> generation::run()
{
    const auto self = shared_from_this();
    time_point next = monotonic_clock::now();
    while (!quiet()) {
        fill_batch();
        next = std::max(next + token_time(), monotonic_clock::now());
        co_await sleep_for(next - monotonic_clock::now());
        if (hooks_.group_broken()) {
            stop();
        }
        if (hooks_.group_whole()) {
            emit_tokens();
        }
        else {
            co_await sleep_for(stall_poll);
        }
        forget_old();
    }
    active_ = false;
}

void generation::fill_batch()
{
    while (!queue_.empty() && running_.size() < batch_limit(settings_)) {
        const auto first = queue_.back();
        queue_.pop_back();
        first->state = attempt_state::running;
        const auto prompt_tokens =
            static_cast<std::uint32_t>(first->call.prompt().size()) / characters_per_token;
        const double prefill =
            settings_.first_token_us() + static_cast<double>(settings_.prompt_token_us()) *
                                             (prompt_tokens - first->cached_tokens);
        first->first_token_at = monotonic_clock::now() + microseconds(prefill * hooks_.slowdown());
        running_.push_back(first);
    }
}

void generation::emit_tokens()
{
    const time_point now = monotonic_clock::now();
    for (const auto& each : running_) {
        if (each->first_token_at > now) {
            continue;
        }
        ++each->emitted;
        ++tokens_;
        if (each->emitted == each->chunks) {
            end(*each, attempt_state::finished);
        }
        each->changed.wake();
    }
    std::erase_if(running_, [](const auto& each) { return each->state != attempt_state::running; });
}

void generation::end(attempt& which, attempt_state state)
{
    if (which.state != attempt_state::queued && which.state != attempt_state::running) {
        return;
    }
    which.state = state;
    which.ended_at = monotonic_clock::now();
    which.changed.wake();
    ended_.push_back(attempts_.at(which.call.attempt_id()));
}

void generation::forget_old()
{
    const time_point oldest = monotonic_clock::now() - attempts_kept;
    while (!ended_.empty() && ended_.front()->ended_at < oldest) {
        attempts_.erase(ended_.front()->call.attempt_id());
        ended_.pop_front();
    }
}

} // namespace chervildyke::standin
