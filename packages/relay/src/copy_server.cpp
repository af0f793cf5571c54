#include "sapphirereel/relay/copy_server.hpp"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <utility>

namespace sapphirereel::relay {
namespace {

/// Time for which a daemon that received a piece is named to others.
constexpr auto receiver_life = duration{std::chrono::seconds{3}};

/// Daemons that one response names.
constexpr auto max_named_holders = std::size_t{6};

constexpr auto status_ok = 200;
constexpr auto status_refused = 503;

auto message_fields() -> http::field_list
{
    return {{"Content-Type", "application/msgpack"}};
}

} // namespace

copy_server::copy_server(
    relay_state& state, piece_library& library, double link_bytes_per_second)
    : state_(&state)
    , library_(&library)
    , share_(link_bytes_per_second)
{}

auto copy_server::send_copy(
    caller_session& to,
    peer_copy copy,
    bool receiver_reads_outlines,
    time_point now) -> void
{
    auto const bytes = write_copy(
        receiver_reads_outlines ? with_outlines(std::move(copy), *library_)
                                : std::move(copy));
    auto const is_large = bytes.size() >= min_large_copy;
    if (is_large && share_.wait(now) > duration{0})
    {
        state_->metrics.add(relay_counter::copies_refused);
        to.respond(status_refused, {}, {});
        return;
    }
    share_.charge(bytes.size(), now);
    state_->metrics.add(relay_counter::copy_bytes_sent, bytes.size());
    to.respond(status_ok, message_fields(), bytes);
}

auto copy_server::send_pieces(
    caller_session& to, piece_request const& asked, time_point now) -> void
{
    auto response = piece_response{{}, holders_for(asked.ip, now)};
    if (auto const wait = share_.wait(now); wait > duration{0})
    {
        state_->metrics.add(relay_counter::copies_refused);
        auto fields = message_fields();
        fields.push_back(
            {"Retry-After",
             fmt::format(
                 "{:.3f}", std::chrono::duration<double>{wait}.count())});
        to.respond(status_refused, std::move(fields), write_pieces(response));
        return;
    }
    response.pieces = pieces_for(asked);
    if (!response.pieces.empty())
    {
        receivers_[asked.ip] = now;
    }
    auto const bytes = write_pieces(response);
    share_.charge(bytes.size(), now);
    state_->metrics.add(relay_counter::copy_bytes_sent, bytes.size());
    to.respond(status_ok, message_fields(), bytes);
}

auto copy_server::pieces_for(piece_request const& asked)
    -> std::vector<std::string>
{
    auto found = std::vector<std::string>{};
    auto bytes = std::size_t{0};
    for (auto const& digest : asked.pieces)
    {
        auto const* const piece = library_->find(digest);
        if (piece && bytes < max_response_bytes)
        {
            bytes += piece->size();
            found.push_back(*piece);
        }
    }
    return found;
}

auto copy_server::holders_for(std::string const& ip, time_point now)
    -> std::vector<std::string>
{
    std::erase_if(receivers_, [&](auto const& each) {
        return now - each.second > receiver_life;
    });
    auto others = std::vector<std::string>{};
    for (auto const& [receiver, at] : receivers_)
    {
        if (receiver != ip)
        {
            others.push_back(receiver);
        }
    }
    auto named = std::vector<std::string>{};
    std::sample(
        others.begin(), others.end(), std::back_inserter(named),
        max_named_holders, state_->random);
    return named;
}

} // namespace sapphirereel::relay
