/// \file
/// Defines answer_cache: answers of calls that ran, kept for callers who ask
/// again, within a bound of bytes.
#ifndef SAPPHIREREEL_CORE_ANSWER_CACHE_HPP
#define SAPPHIREREEL_CORE_ANSWER_CACHE_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/request.hpp"

#include <cstddef>
#include <deque>
#include <map>

namespace sapphirereel {

/// The answer of one call.
struct cached_answer
{
    digest name;
    digest body;
    call_answer answer;
    auto operator<=>(cached_answer const&) const = default;
};

/// Keeps answers; the oldest go first when bytes or time run out.
class answer_cache
{
public:
    /// `bytes` bounds the sum of the answers, `lifetime` their age.
    answer_cache(std::size_t bytes, duration lifetime);

    /// Keeps an answer. The first answer for a name stays.
    auto keep(cached_answer answer, time_point now) -> void;

    /// The answer kept for the name, or null.
    [[nodiscard]] auto find(digest const& name) const -> cached_answer const*;

    /// Drops answers past their lifetime.
    auto evict_expired(time_point now) -> void;

    [[nodiscard]] auto bytes() const -> std::size_t;

private:
    struct dated_name
    {
        time_point since;
        digest name;
    };

    auto evict_oldest() -> void;

    std::size_t bytes_limit_;
    duration lifetime_;
    std::size_t bytes_ = 0;
    std::map<digest, cached_answer> answers_;
    std::deque<dated_name> by_age_;
};

} // namespace sapphirereel

#endif
