/** \file
 * Defines completion_encoder, which encodes completions as OpenAI-compatible JSON.
 */
#pragma once

#include <cstdint>
#include <string>

#include "entry/at_most_once.h"
#include "entry/completion_request.h"

namespace chervildyke {

/** The token counts that a caller receives. */
struct token_usage {
    std::uint32_t prompt_tokens = 0;
    std::uint32_t completion_tokens = 0;
    std::uint32_t cached_tokens = 0;

    bool operator==(const token_usage&) const = default;
};

/** Encodes the completion of one call, as one body or as server-sent events. */
class completion_encoder {
  public:
    /** \param id the completion's id, which is part of the body and of each event.
     * \param created_s seconds since 1970.
     */
    completion_encoder(completion_kind kind, std::string id, const std::string& model,
                       std::uint64_t created_s);

    /** \param first true for the first chunk, which also states the role.
     * \return the event that carries a part of the text.
     */
    std::string encode_chunk(const std::string& text, bool first) const;

    /** \return the event before done_event(), with the finish reason and the outcome of the call.
     */
    std::string encode_final_chunk(const std::string& finish_reason, const token_usage& usage,
                                   bool include_usage) const;

    /** \return the event that reports an error after which the completion is incomplete. */
    std::string encode_error(const api_error& error) const;

    /** \return the last event of each stream. */
    static std::string done_event() { return "data: [DONE]\n\n"; }

    /** \return the body of a completion that is not streamed. */
    std::string encode_body(const std::string& text, const std::string& finish_reason,
                            const token_usage& usage) const;

    const std::string& id() const { return id_; }

  private:
    completion_kind kind_;
    std::string id_;
    std::string chunk_prefix_; // The beginning of each chunk.
    std::string body_prefix_;
};

} // namespace chervildyke
