#include "sapphirereel/core/answer_cache.hpp"

#include <utility>

namespace sapphirereel {

namespace {

auto size_of(cached_answer const& kept) -> std::size_t
{
    auto bytes = sizeof(cached_answer) + kept.name.str().size() +
                 kept.body.str().size() + kept.answer.body.size();
    for (auto const& field : kept.answer.headers)
    {
        bytes += field.name.size() + field.value.size();
    }
    return bytes;
}

} // namespace

answer_cache::answer_cache(std::size_t bytes, duration lifetime)
    : bytes_limit_(bytes)
    , lifetime_(lifetime)
{}

auto answer_cache::store(cached_answer answer, time_point now) -> void
{
    auto const name = answer.name;
    auto const size = size_of(answer);
    if (!answers_.emplace(name, std::move(answer)).second)
    {
        return;
    }
    bytes_ += size;
    by_age_.push_back({now, name});
    while (bytes_ > bytes_limit_ && by_age_.size() > 1)
    {
        evict_oldest();
    }
}

auto answer_cache::find(digest const& name) const -> cached_answer const*
{
    auto const found = answers_.find(name);
    return found == answers_.end() ? nullptr : &found->second;
}

auto answer_cache::evict_expired(time_point now) -> void
{
    while (!by_age_.empty() && now - by_age_.front().since > lifetime_)
    {
        evict_oldest();
    }
}

auto answer_cache::evict_oldest() -> void
{
    auto const found = answers_.find(by_age_.front().name);
    bytes_ -= size_of(found->second);
    answers_.erase(found);
    by_age_.pop_front();
}

auto answer_cache::bytes() const -> std::size_t
{
    return bytes_;
}

} // namespace sapphirereel
