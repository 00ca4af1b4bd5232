/** \file
 * Defines bounded_body, the body of a request while it is read.
 */
#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>

namespace chervildyke {

/** A body type of Boost.Beast that appends to a string. Other than beast's string_body it allocates
 * nothing for a length that is only announced. Who reads the message reserves capacity before each
 * read and so knows the memory that is used.
 */
struct bounded_body {
    using value_type = std::string;

    class reader {
      public:
        template <bool IsRequest, typename Fields>
        reader(boost::beast::http::header<IsRequest, Fields>&, value_type& body) : body_(body)
        {
        }

        void init(const boost::optional<std::uint64_t>&, boost::system::error_code& error)
        {
            error = {};
        }

        template <typename Buffers>
        std::size_t put(const Buffers& parts, boost::system::error_code& error)
        {
            const std::size_t size_before = body_.size();
            for (auto part = boost::asio::buffer_sequence_begin(parts);
                 part != boost::asio::buffer_sequence_end(parts); ++part) {
                const boost::asio::const_buffer bytes = *part;
                body_.append(static_cast<const char*>(bytes.data()), bytes.size());
            }
            error = {};
            return body_.size() - size_before;
        }

        void finish(boost::system::error_code& error) { error = {}; }

      private:
        value_type& body_;
    };
};

} // namespace chervildyke
