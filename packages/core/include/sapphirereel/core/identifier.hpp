/// \file
/// Defines strongly typed identifiers of daemons, endpoints, customers and
/// other objects, so that one kind cannot be passed for another.
#ifndef SAPPHIREREEL_CORE_IDENTIFIER_HPP
#define SAPPHIREREEL_CORE_IDENTIFIER_HPP

#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace sapphirereel {

/// An identifier of one kind of object. An empty one refers to nothing.
template <class Tag>
class identifier
{
public:
    identifier() = default;
    explicit identifier(std::string text)
        : text_(std::move(text))
    {}

    [[nodiscard]] auto str() const -> std::string const&
    {
        return text_;
    }

    [[nodiscard]] auto empty() const -> bool
    {
        return text_.empty();
    }

    auto operator<=>(identifier const&) const = default;

private:
    std::string text_;
};

/// One daemon process; a restarted daemon gets a new identifier. A request's
/// entry daemon is the one that its caller is connected to. A replica's home
/// daemon is the one that keeps the replica's ledger.
using daemon_id = identifier<struct daemon_id_tag>;
/// An endpoint: one replica of a model engine or of a plain service.
using endpoint_id = identifier<struct endpoint_id_tag>;
/// A labelled group of endpoints.
using group_name = identifier<struct group_name_tag>;
/// A service that callers send requests to.
using service_name = identifier<struct service_name_tag>;
/// A model, as callers name it in a request.
using model_name = identifier<struct model_name_tag>;
/// A selector of the configuration.
using selector_name = identifier<struct selector_name_tag>;
/// A customer on whose behalf a request runs.
using customer_id = identifier<struct customer_id_tag>;
/// An availability zone.
using zone_name = identifier<struct zone_name_tag>;
/// A region, which holds availability zones.
using region_name = identifier<struct region_name_tag>;
/// The caller's name for a request (its idempotency key).
using request_name = identifier<struct request_name_tag>;
/// One run of one request on an engine; a continuation on another engine is
/// another run.
using run_id = identifier<struct run_id_tag>;
/// An operator's name for one edit of the configuration.
using edit_id = identifier<struct edit_id_tag>;
/// A stream of the platform's log service.
using stream_name = identifier<struct stream_name_tag>;

/// A digest of content, in hexadecimal.
using digest = identifier<struct digest_tag>;

} // namespace sapphirereel

template <class Tag>
struct std::hash<sapphirereel::identifier<Tag>>
{
    auto operator()(sapphirereel::identifier<Tag> const& id) const noexcept
        -> std::size_t
    {
        return std::hash<std::string>{}(id.str());
    }
};

#endif
