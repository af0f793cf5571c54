/// \file
/// Defines a daemon's copy of a keyed stream of the platform's log: the newest
/// record of each key. Records come from the log or from a peer's copy, in any
/// order; the offset decides which is newer, so that nothing ever goes back.
#ifndef SAPPHIREREEL_RELAY_RECORD_CACHE_HPP
#define SAPPHIREREEL_RELAY_RECORD_CACHE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirereel::relay {

/// A record of a keyed stream.
struct keyed_record
{
    std::string key;
    std::uint64_t offset = 0;
    /// None if the record removes its key.
    std::optional<std::string> value;
    auto operator<=>(keyed_record const&) const = default;
};

/// The newest records of one stream.
class record_cache
{
public:
    /// Takes in records that follow one another in the log, and that the copy
    /// then stands before `next`. Returns whether any was news.
    auto follow(std::vector<keyed_record> const& records, std::uint64_t next)
        -> bool;

    /// Takes in the newest record of every key as of `next`: a key that is
    /// missing has been removed. Returns whether any was news.
    auto replace(std::vector<keyed_record> const& newest, std::uint64_t next)
        -> bool;

    /// The newest records, removed keys left out, in order of their keys.
    [[nodiscard]] auto newest() const -> std::vector<keyed_record>;

    /// The newest record of each key that changed from an offset on, removals
    /// included; nothing if the copy may not know of a removal since then.
    [[nodiscard]] auto changed_since(std::uint64_t offset) const
        -> std::optional<std::vector<keyed_record>>;

    [[nodiscard]] auto find(std::string const& key) const
        -> keyed_record const*;

    /// Offset of the newest record of a key, one that removes it included.
    [[nodiscard]] auto offset_of(std::string const& key) const
        -> std::optional<std::uint64_t>;

    /// Offset before which every record has been taken in.
    [[nodiscard]] auto next() const -> std::uint64_t
    {
        return next_;
    }

private:
    auto take(keyed_record const& record) -> bool;

    std::map<std::string, keyed_record> records_;
    std::uint64_t next_ = 0;
    /// Offset from which on all removals are known: the copy was last replaced
    /// there.
    std::uint64_t removals_known_from_ = 0;
};

} // namespace sapphirereel::relay

#endif
