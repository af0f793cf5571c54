#include "sapphirereel/relay/crash_tracker.hpp"

#include "sapphirereel/codec/content_digest.hpp"

#include <fmt/format.h>
#include <utility>

namespace sapphirereel::relay {
namespace {

/// Time for which a crash counts against what ran then.
constexpr auto crash_memory = duration{std::chrono::minutes{10}};

/// Time for which news is told: several regular reports.
constexpr auto told_for = duration{std::chrono::seconds{6}};

/// Most messages of a kind that one report carries.
constexpr auto most_told = std::size_t{12};

auto settings() -> poison_request_settings
{
    auto chosen = poison_request_settings{};
    chosen.deaths = crashes_of_poison_request;
    chosen.memory = crash_memory;
    return chosen;
}

/// Names a crash the same way at each daemon that sees it.
auto name_of_crash(replica const& which) -> digest
{
    return digest{fmt::format("{}@{}", which.id.str(), which.started_at_ms)};
}

template <class Told>
auto add_bounded(std::vector<Told>& list, Told each) -> void
{
    if (list.size() >= most_told)
    {
        list.erase(list.begin());
    }
    list.push_back(std::move(each));
}

template <class Told>
auto messages_of(std::vector<Told> const& list)
{
    auto messages = std::vector<decltype(Told::message)>{};
    for (auto const& each : list)
    {
        messages.push_back(each.message);
    }
    return messages;
}

template <class Told>
auto expire_told(std::vector<Told>& list, time_point now) -> void
{
    std::erase_if(
        list, [&](Told const& each) { return now - each.at > told_for; });
}

} // namespace

auto request_fingerprint(
    caller_request const& request, std::optional<customer_id> const& customer)
    -> digest
{
    auto const name = customer.value_or(customer_id{}).str();
    return codec::content_digest(fmt::format(
        "{}:{}{}:{}{}", name.size(), name, request.target.size(),
        request.target, request.body));
}

crash_tracker::crash_tracker()
    : known_(poison_request_detector::create(settings()).value())
{}

auto crash_tracker::has_suspects() const -> bool
{
    return known_.has_crashes();
}

auto crash_tracker::is_poison(digest const& content) const -> bool
{
    return known_.verdict(content) == poison_verdict::lethal;
}

auto crash_tracker::crashed(
    replica const& which, digest const& content, time_point now) -> void
{
    auto message = crash_message{name_of_crash(which), {content}};
    if (known_.record_crash(message, now))
    {
        add_bounded(own_deaths_, {std::move(message), now});
    }
}

auto crash_tracker::answered(digest const& content, time_point now) -> void
{
    if (auto message = known_.record_completion(content, now))
    {
        add_bounded(own_cleared_, {std::move(*message), now});
    }
}

auto crash_tracker::apply_report(crash_reports const& news, time_point now)
    -> void
{
    for (auto const& each : news.deaths)
    {
        known_.record_crash(each, now);
    }
    for (auto const& each : news.cleared)
    {
        known_.cleared(each, now);
    }
}

auto crash_tracker::entries_to_report() const -> crash_reports
{
    return {messages_of(own_deaths_), messages_of(own_cleared_)};
}

auto crash_tracker::expire(time_point now) -> void
{
    known_.expire(now);
    expire_told(own_deaths_, now);
    expire_told(own_cleared_, now);
}

} // namespace sapphirereel::relay
