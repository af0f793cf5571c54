/// \file
/// Defines a short list of messages that a daemon repeats in its reports for a
/// while, so that a lost datagram does not matter.
#ifndef SAPPHIREREEL_RELAY_TIMED_REPORTS_HPP
#define SAPPHIREREEL_RELAY_TIMED_REPORTS_HPP

#include "sapphirereel/core/clock.hpp"

#include <cstddef>
#include <utility>
#include <vector>

namespace sapphirereel::relay {

/// Time for which a message is repeated: several periodic reports.
inline constexpr auto report_lifetime = duration{std::chrono::seconds{6}};

/// Maximum number of messages of one kind in a report.
inline constexpr auto max_report_entries = std::size_t{12};

/// Messages that are recent enough to be sent.
template <class Message>
class timed_reports
{
public:
    /// Adds a message; the oldest one gives way if there are too many.
    auto add(Message message, time_point now) -> void
    {
        if (entries_.size() >= max_report_entries)
        {
            entries_.erase(entries_.begin());
        }
        entries_.push_back({std::move(message), now});
    }

    /// Drops the messages that have been repeated long enough.
    auto expire(time_point now) -> void
    {
        std::erase_if(entries_, [&](entry const& each) {
            return now - each.at > report_lifetime;
        });
    }

    [[nodiscard]] auto messages() const -> std::vector<Message>
    {
        auto listed = std::vector<Message>{};
        for (auto const& each : entries_)
        {
            listed.push_back(each.message);
        }
        return listed;
    }

private:
    struct entry
    {
        Message message;
        time_point at;
    };

    std::vector<entry> entries_;
};

} // namespace sapphirereel::relay

#endif
