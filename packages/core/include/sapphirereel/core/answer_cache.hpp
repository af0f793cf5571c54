/// \file
/// Defines answer_cache: the answers of completed calls, cached for repeated
/// requests up to a limit in bytes and age.
#ifndef SAPPHIREREEL_CORE_ANSWER_CACHE_HPP
#define SAPPHIREREEL_CORE_ANSWER_CACHE_HPP

#include "sapphirereel/core/clock.hpp"
#include "sapphirereel/core/identifier.hpp"
#include "sapphirereel/core/request.hpp"

#include <cstddef>
#include <deque>
#include <map>

namespace sapphirereel {

/// The answer of one call, with the digests of the call's name and body.
struct cached_answer
{
    digest name;
    digest body;
    call_answer answer;
    auto operator<=>(cached_answer const&) const = default;
};

/// Caches answers; evicts the oldest first when the byte limit or their
/// lifetime is exceeded.
class answer_cache
{
public:
    /// `bytes` limits the total size of the cached answers, `lifetime` their
    /// age.
    answer_cache(std::size_t bytes, duration lifetime);

    /// Stores an answer. The first answer stored for a name is never replaced.
    auto store(cached_answer answer, time_point now) -> void;

    /// The answer cached for the name, or null.
    [[nodiscard]] auto find(digest const& name) const -> cached_answer const*;

    /// Evicts answers that are older than their lifetime.
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
