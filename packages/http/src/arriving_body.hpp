/// \file
/// Defines the body of a message that is being read. It takes memory for the
/// bytes that have arrived, never for a length that the other side states.
#ifndef SAPPHIREREEL_HTTP_ARRIVING_BODY_HPP
#define SAPPHIREREEL_HTTP_ARRIVING_BODY_HPP

#include <algorithm>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

namespace sapphirereel::http {

/// Length from which a body counts as long, in bytes.
inline constexpr auto long_body_bytes = std::size_t{262'144};

/// A body type of the parser. The parser's own one reserves the stated length
/// when the head ends, which throws where there is not as much memory.
struct arriving_body
{
    using value_type = std::string;

    class reader
    {
    public:
        template <bool IsRequest, class Fields>
        reader(
            boost::beast::http::header<IsRequest, Fields>& /*head*/,
            value_type& body)
            : body_(body)
        {}

        auto init(
            boost::optional<std::uint64_t> const& /*stated_length*/,
            boost::system::error_code& error) -> void
        {
            error = {};
        }

        template <class Buffers>
        auto put(Buffers const& buffers, boost::system::error_code& error)
            -> std::size_t
        {
            error = {};
            auto taken = std::size_t{0};
            for (auto const part : boost::beast::buffers_range_ref(buffers))
            {
                make_room(part.size());
                body_.append(
                    static_cast<char const*>(part.data()), part.size());
                taken += part.size();
            }
            return taken;
        }

        auto finish(boost::system::error_code& error) -> void
        {
            error = {};
        }

    private:
        /// Lets a long body grow by a quarter at a time: the string itself
        /// would take up to twice the body's bytes.
        auto make_room(std::size_t bytes) -> void
        {
            auto const wanted = body_.size() + bytes;
            auto const capacity = body_.capacity();
            if (wanted <= capacity || wanted < long_body_bytes)
            {
                return;
            }
            auto longer = value_type{};
            longer.reserve(std::max(wanted, capacity + capacity / 4));
            longer.append(body_);
            body_ = std::move(longer);
        }

        value_type& body_;
    };
};

} // namespace sapphirereel::http

#endif
