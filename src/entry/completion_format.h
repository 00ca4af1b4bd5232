/** \file
 * Defines completion_format, which writes answers as OpenAI-compatible JSON.
 */
#pragma once

#include <cstdint>
#include <string>

#include "entry/call_guard.h"
#include "entry/completion_request.h"

namespace chervildyke {

struct token_usage {
    std::uint32_t prompt_tokens = 0;
    std::uint32_t completion_tokens = 0;
    std::uint32_t cached_tokens = 0;

    bool operator==(const token_usage&) const = default;
};

/** Writes one call's answer, in whole or as server-sent events. */
class completion_format {
  public:
    /** \param id the answer's id; callers see it in each chunk. */
    completion_format(call_kind kind, std::string id, const std::string& model,
                      std::uint64_t created_s);

    /** \return the event that carries a part of the answer.
     * \param first true for the first part, which also names the role.
     */
    std::string part(const std::string& text, bool first) const;

    /** \return the last event before end(): why the answer ended, and the call's outcome. */
    std::string last_part(const std::string& finish_reason, const token_usage& usage,
                          bool include_usage) const;

    /** \return the event that tells the caller that the answer is not whole. */
    std::string error_event(const api_error& error) const;

    /** \return the event that ends each stream. */
    static std::string end() { return "data: [DONE]\n\n"; }

    /** \return the body of an answer that is not streamed. */
    std::string whole(const std::string& text, const std::string& finish_reason,
                      const token_usage& usage) const;

    const std::string& id() const { return id_; }

  private:
    call_kind kind_;
    std::string id_;
    std::string chunk_head_; // What all chunks begin with.
    std::string whole_head_;
};

} // namespace chervildyke
