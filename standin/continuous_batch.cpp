/** \file
 * Implements continuous_batch.
 */
#include "standin/continuous_batch.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "standin/answer_token.h"

namespace chervildyke::standin {

namespace asio = boost::asio;

namespace {

constexpr duration ended_attempt_ttl = 30s;
constexpr duration stall_poll_interval = 20ms;
constexpr std::size_t default_batch_limit = 32; // Attempts.
constexpr std::size_t max_queued_batches = 8; // The queue's limit in multiples of the batch limit.
constexpr std::uint32_t characters_per_token = 4;

std::size_t batch_limit(const schema::standin_engine_settings& settings)
{
    return settings.batch_limit() == 0 ? default_batch_limit : settings.batch_limit();
}

duration microseconds(double count)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::micro>(count));
}

} // namespace

std::string attempt::chunk_event(std::uint32_t sequence) const
{
    const std::uint32_t token_index = call.prior_tokens() + sequence;
    const bool has_token = token_index < answer_tokens;
    const bool is_last = sequence + 1 == total_chunks;
    // Formats the JSON itself because protobuf's JSON conversion costs more than the rest of a
    // stand-in's work for a token.
    std::string json = "data: {\"attempt_id\":\"" + call.attempt_id() +
                       "\",\"sequence\":" + std::to_string(sequence) + ",\"text\":\"" +
                       (has_token ? answer_token(subject, token_index) : "") +
                       "\",\"tokens\":" + (has_token ? "1" : "0");
    if (sequence == 0) {
        json += ",\"cached_tokens\":" + std::to_string(cached_tokens);
    }
    if (is_last) {
        const bool is_complete = answer_tokens == answer_length(subject);
        json += std::string(R"(,"last":true,"finish_reason":")") +
                (is_complete ? "stop" : "length") + '"';
    }
    return json + "}\n\n";
}

continuous_batch::continuous_batch(asio::any_io_executor executor,
                                   const schema::standin_engine_settings& settings,
                                   batch_hooks hooks)
    : executor_(std::move(executor)), settings_(settings), hooks_(std::move(hooks))
{
}

std::shared_ptr<attempt> continuous_batch::find(const std::string& attempt_id) const
{
    const auto found = attempts_.find(attempt_id);
    return found == attempts_.end() ? nullptr : found->second;
}

std::shared_ptr<attempt> continuous_batch::start(const schema::engine_call& call,
                                                 prefix_cache& cache)
{
    if (auto existing = find(call.attempt_id())) {
        return existing;
    }
    if (stopped_ || queue_.size() >= batch_limit(settings_) * max_queued_batches) {
        return nullptr;
    }
    auto created = std::make_shared<attempt>();
    created->call = call;
    created->subject = answer_subject(call.prompt());
    created->answer_tokens = answer_length(created->subject);
    if (call.max_tokens() > 0) {
        created->answer_tokens = std::min(created->answer_tokens, call.max_tokens());
    }
    created->total_chunks = created->answer_tokens > call.prior_tokens()
                                ? created->answer_tokens - call.prior_tokens()
                                : 1;
    created->arrival_number = ++started_attempts_;
    const std::vector<std::uint64_t> prefixes(call.prefix_hashes().begin(),
                                              call.prefix_hashes().end());
    const std::size_t cached_prefixes = cache.look_up_and_insert(prefixes);
    const auto prompt_tokens =
        static_cast<std::uint32_t>(call.prompt().size()) / characters_per_token;
    if (!prefixes.empty()) {
        created->cached_tokens =
            static_cast<std::uint32_t>(prompt_tokens * cached_prefixes / prefixes.size());
    }
    attempts_[call.attempt_id()] = created;
    queue_.push_back(created);
    std::stable_sort(queue_.begin(), queue_.end(), [](const auto& left, const auto& right) {
        return left->call.priority() != right->call.priority()
                   ? left->call.priority() < right->call.priority()
                   : left->arrival_number > right->arrival_number;
    });
    if (!loop_active_) {
        loop_active_ = true;
        asio::co_spawn(executor_, run(), asio::detached);
    }
    return created;
}

void continuous_batch::cancel(const std::string& attempt_id)
{
    if (const auto found = find(attempt_id)) {
        std::erase(running_, found);
        std::erase(queue_, found);
        end_attempt(*found, attempt_state::cancelled);
    }
}

void continuous_batch::stop()
{
    stopped_ = true;
    for (const auto& each : running_) {
        end_attempt(*each, attempt_state::broken);
    }
    for (const auto& each : queue_) {
        end_attempt(*each, attempt_state::broken);
    }
    running_.clear();
    queue_.clear();
}

duration continuous_batch::token_time() const
{
    const auto running = static_cast<double>(std::max<std::size_t>(running_.size(), 1));
    return microseconds(
        (settings_.token_time_us() + settings_.token_time_per_running_us() * running) *
        hooks_.slowdown_factor());
}

asio::awaitable<void> continuous_batch::run()
{
    const auto self = shared_from_this();
    time_point next = monotonic_clock::now();
    while (!is_idle()) {
        fill_batch();
        next = std::max(next + token_time(), monotonic_clock::now());
        co_await sleep_for(next - monotonic_clock::now());
        if (hooks_.is_group_lost()) {
            stop();
        }
        if (hooks_.is_group_ready()) {
            emit_tokens();
        }
        else {
            co_await sleep_for(stall_poll_interval);
        }
        remove_expired();
    }
    loop_active_ = false;
}

void continuous_batch::fill_batch()
{
    while (!queue_.empty() && running_.size() < batch_limit(settings_)) {
        const auto next = queue_.back();
        queue_.pop_back();
        next->state = attempt_state::running;
        const auto prompt_tokens =
            static_cast<std::uint32_t>(next->call.prompt().size()) / characters_per_token;
        const double prefill_us =
            settings_.first_token_us() + static_cast<double>(settings_.prompt_token_us()) *
                                             (prompt_tokens - next->cached_tokens);
        next->first_token_at =
            monotonic_clock::now() + microseconds(prefill_us * hooks_.slowdown_factor());
        running_.push_back(next);
    }
}

void continuous_batch::emit_tokens()
{
    const time_point now = monotonic_clock::now();
    for (const auto& each : running_) {
        if (each->first_token_at > now) {
            continue;
        }
        ++each->emitted_chunks;
        ++emitted_tokens_;
        if (each->emitted_chunks == each->total_chunks) {
            end_attempt(*each, attempt_state::finished);
        }
        each->changed.notify_all();
    }
    std::erase_if(running_, [](const auto& each) { return each->state != attempt_state::running; });
}

void continuous_batch::end_attempt(attempt& ended, attempt_state state)
{
    if (ended.state != attempt_state::queued && ended.state != attempt_state::running) {
        return;
    }
    ended.state = state;
    ended.ended_at = monotonic_clock::now();
    ended.changed.notify_all();
    ended_.push_back(attempts_.at(ended.call.attempt_id()));
}

void continuous_batch::remove_expired()
{
    const time_point oldest = monotonic_clock::now() - ended_attempt_ttl;
    while (!ended_.empty() && ended_.front()->ended_at < oldest) {
        attempts_.erase(ended_.front()->call.attempt_id());
        ended_.pop_front();
    }
}

} // namespace chervildyke::standin
