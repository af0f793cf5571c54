#include "sapphirereel/relay/crash_tracker.hpp"

#include "sapphirereel/codec/content_digest.hpp"

#include <fmt/format.h>
#include <utility>

namespace sapphirereel::relay {
namespace {

/// Time for which a crash counts against the requests that ran at the time.
constexpr auto crash_retention = duration{std::chrono::minutes{10}};

auto settings() -> poison_request_settings
{
    auto chosen = poison_request_settings{};
    chosen.deaths = crashes_of_poison_request;
    chosen.memory = crash_retention;
    return chosen;
}

/// Identifies a crash in the same way at each daemon that observes it.
auto crash_id(replica const& which) -> digest
{
    return digest{fmt::format("{}@{}", which.id.str(), which.started_at_ms)};
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
    : requests_(poison_request_detector::create(settings()).value())
{}

auto crash_tracker::has_suspects() const -> bool
{
    return requests_.has_crashes();
}

auto crash_tracker::is_poison(digest const& content) const -> bool
{
    return requests_.verdict(content) == poison_verdict::poison;
}

auto crash_tracker::record_replica_crash(
    replica const& which, digest const& content, time_point now) -> void
{
    auto message = crash_message{crash_id(which), {content}};
    if (requests_.record_crash(message, now))
    {
        own_crashes_.add(std::move(message), now);
    }
}

auto crash_tracker::record_response(digest const& content, time_point now)
    -> void
{
    if (auto message = requests_.record_completion(content, now))
    {
        own_cleared_.add(std::move(*message), now);
    }
}

auto crash_tracker::apply_report(crash_reports const& reports, time_point now)
    -> void
{
    for (auto const& each : reports.deaths)
    {
        requests_.record_crash(each, now);
    }
    for (auto const& each : reports.cleared)
    {
        requests_.cleared(each, now);
    }
}

auto crash_tracker::entries_to_report() const -> crash_reports
{
    return {own_crashes_.messages(), own_cleared_.messages()};
}

auto crash_tracker::expire(time_point now) -> void
{
    requests_.expire(now);
    own_crashes_.expire(now);
    own_cleared_.expire(now);
}

} // namespace sapphirereel::relay
