#include "sapphirereel/relay/piece_library.hpp"

namespace sapphirereel::relay {

auto piece_library::hold(std::string_view value) -> value_outline
{
    auto const whole = digest_of(value);
    for (auto const& each : values_)
    {
        if (each.whole == whole && missing(each).empty())
        {
            auto outline = each;
            expect(outline);
            return outline;
        }
    }
    auto outline = outline_of(value);
    expect(outline);
    for (auto const piece : cut_into_pieces(value))
    {
        add(piece);
    }
    return outline;
}

auto piece_library::expect(value_outline const& outline) -> void
{
    auto const named = outline;
    std::erase_if(values_, [&](value_outline const& each) {
        return each.whole == named.whole;
    });
    values_.push_back(named);
    for (auto const& each : named.pieces)
    {
        used_.insert(each.digest);
    }
    if (values_.size() > max_held_values)
    {
        values_.pop_front();
        drop_unused();
    }
}

auto piece_library::drop_unused() -> void
{
    used_.clear();
    for (auto const& value : values_)
    {
        for (auto const& each : value.pieces)
        {
            used_.insert(each.digest);
        }
    }
    std::erase_if(pieces_, [this](auto const& each) {
        return !used_.contains(each.first);
    });
}

auto piece_library::add(std::string_view piece) -> bool
{
    auto const digest = digest_of(piece);
    return used_.contains(digest) &&
           pieces_.try_emplace(digest, std::string{piece}).second;
}

auto piece_library::find(content_digest const& digest) const
    -> std::string const*
{
    auto const found = pieces_.find(digest);
    return found == pieces_.end() ? nullptr : &found->second;
}

auto piece_library::missing(value_outline const& outline) const
    -> std::vector<outlined_piece>
{
    auto listed = std::vector<outlined_piece>{};
    auto known = std::set<content_digest>{};
    for (auto const& each : outline.pieces)
    {
        if (!find(each.digest) && known.insert(each.digest).second)
        {
            listed.push_back(each);
        }
    }
    return listed;
}

auto piece_library::value_of(value_outline const& outline) const
    -> std::optional<std::string>
{
    auto value = std::string{};
    value.reserve(outline.bytes());
    for (auto const& each : outline.pieces)
    {
        auto const* const piece = find(each.digest);
        if (!piece)
        {
            return std::nullopt;
        }
        value += *piece;
    }
    return digest_of(value) == outline.whole ? std::optional{std::move(value)}
                                             : std::nullopt;
}

auto bytes_of(std::vector<outlined_piece> const& pieces) -> std::size_t
{
    auto sum = std::size_t{0};
    for (auto const& each : pieces)
    {
        sum += each.bytes;
    }
    return sum;
}

} // namespace sapphirereel::relay
