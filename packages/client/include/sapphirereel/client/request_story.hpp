/// \file
/// Defines how one request's story is put together from the logs of several
/// daemons: its own lines, and what the daemons that served it learnt at that
/// time of its replicas and of the configuration.
#ifndef SAPPHIREREEL_CLIENT_REQUEST_STORY_HPP
#define SAPPHIREREEL_CLIENT_REQUEST_STORY_HPP

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirereel::client {

/// The log of one daemon, or of several whose lines begin with a name.
struct log_source
{
    std::string name;
    std::string text;
    auto operator<=>(log_source const&) const = default;
};

/// A field of a log line, its value as JSON.
struct story_field
{
    std::string name;
    std::string value;
    auto operator<=>(story_field const&) const = default;
};

/// One line of a story.
struct story_line
{
    /// Civil time, RFC 3339 in UTC with milliseconds; sorts by time.
    std::string time;
    /// The daemon that wrote it.
    std::string daemon;
    std::string module;
    std::string message;
    /// The request that it is about; empty for lines about the daemon.
    std::string request;
    std::vector<story_field> fields;
    /// Lines that the daemon had dropped before this one.
    std::uint64_t suppressed = 0;
    auto operator<=>(story_line const&) const = default;
};

/// What the logs hold of one request.
struct request_story
{
    /// In order of time.
    std::vector<story_line> lines;
    /// Lines that the daemons of the story dropped during it, so that it may
    /// have gaps.
    std::uint64_t suppressed = 0;
    /// Lines of all sources that are no log lines.
    std::uint64_t unreadable = 0;
    auto operator<=>(request_story const&) const = default;
};

/// Finds the story of a request. A line may begin with other words before its
/// JSON object; the last of them names the daemon, else the source does.
auto find_story(
    std::span<log_source const> sources, std::string_view request_id)
    -> request_story;

/// The story as text, one line each.
auto describe(request_story const& story) -> std::string;

} // namespace sapphirereel::client

#endif
