#include "sapphirereel/relay/stream_load.hpp"

#include <algorithm>
#include <cmath>

namespace sapphirereel::relay {
namespace {

/// Maximum output length that an estimate considers, in tokens.
constexpr auto max_output_tokens = 4'096.0;

/// Level of the quantile that the curve computes besides the mean.
constexpr auto quantile_level = 0.5;

/// Weight of the caller's hint relative to the learned length.
constexpr auto hint_weight = 0.4;

/// Share of the output still expected that counts as memory: streams end at
/// different times, so that not all of it is needed at the same time.
constexpr auto growth_share = 0.6;

/// Minimum change of memory to be registered, in tokens.
constexpr auto min_change_tokens = 64.0;

} // namespace

auto expected_output(length_curve const& learned, generation_size const& size)
    -> double
{
    auto const mean =
        learned.remaining(0, max_output_tokens, quantile_level).mean;
    auto const estimate =
        size.hinted_output
            ? (1 - hint_weight) * mean + hint_weight * *size.hinted_output
            : mean;
    return size.most_output > 0 ? std::min(estimate, size.most_output)
                                : estimate;
}

auto counted_memory_tokens(
    generation_size const& size, double expected, double output_tokens)
    -> double
{
    auto const still_expected = std::max(0.0, expected - output_tokens);
    return size.prompt + output_tokens + growth_share * still_expected;
}

stream_load::stream_load(replica_table& table)
    : table_(&table)
{}

stream_load::~stream_load()
{
    release();
}

auto stream_load::place(endpoint_id const& at, replica_load const& load) -> void
{
    release();
    at_ = at;
    counted_ = load;
    table_->add(at_, counted_);
}

auto stream_load::prefill_completed() -> void
{
    if (counted_.pending_prefill_tokens > 0)
    {
        auto load = counted_;
        load.pending_prefill_tokens = 0;
        auto const at = at_;
        place(at, load);
    }
}

auto stream_load::update(double memory_tokens, double held_tokens) -> void
{
    auto const change = memory_tokens - counted_.memory_tokens;
    if (counted_.requests == 0 || std::abs(change) < min_change_tokens)
    {
        return;
    }
    auto load = counted_;
    load.memory_tokens = memory_tokens;
    load.movable_tokens = load.movable_tokens > 0 ? held_tokens : 0;
    auto const at = at_;
    place(at, load);
}

auto stream_load::release() -> void
{
    if (counted_.requests > 0)
    {
        table_->remove(at_, counted_);
        counted_ = {};
    }
}

} // namespace sapphirereel::relay
