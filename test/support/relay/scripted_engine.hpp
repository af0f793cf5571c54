/// \file
/// Defines replicas of an engine whose runs a test scripts in the order in
/// which they begin, whichever replica gets them.
#ifndef SAPPHIREREEL_TEST_SUPPORT_RELAY_SCRIPTED_ENGINE_HPP
#define SAPPHIREREEL_TEST_SUPPORT_RELAY_SCRIPTED_ENGINE_HPP

#include "support/relay/relay_fixture.hpp"

#include <deque>
#include <string>
#include <vector>

namespace sapphirereel::relay::test {

/// The events numbered from `first` to `last`.
inline auto events(int first, int last) -> std::string
{
    auto text = std::string{};
    for (auto number = first; number <= last; ++number)
    {
        text += fmt::format("id: {}\ndata: e{}\n\n", number, number);
    }
    return text;
}

/// One run and how it ends.
struct scripted_run
{
    enum class ending
    {
        complete,
        /// The connection ends within the response.
        cut,
        /// A whole response with an error status.
        failure
    };

    std::string body;
    ending how = ending::complete;
    int status = 200;
};

inline auto complete(std::string body) -> scripted_run
{
    return {std::move(body)};
}

inline auto cut(std::string body) -> scripted_run
{
    return {std::move(body), scripted_run::ending::cut};
}

inline auto failure(int status, std::string body) -> scripted_run
{
    return {std::move(body), scripted_run::ending::failure, status};
}

/// Replicas that share a script. The response to each run states its place in
/// the script in the field `Run`.
class scripted_engine
{
public:
    scripted_engine(
        asio::io_context& loop,
        std::size_t replicas,
        std::vector<scripted_run> script)
        : script_(std::move(script))
    {
        for (auto at = std::size_t{0}; at < replicas; ++at)
        {
            this->replicas.emplace_back(
                loop, [this, at](
                          std::shared_ptr<caller_session> const& from,
                          http::request const& request) {
                    if (answer_order_without_run(*from, request))
                    {
                        return;
                    }
                    served_by.push_back(at);
                    serve(*from, request);
                });
        }
    }

    /// The value of a field of the request of a run; empty if there is none.
    [[nodiscard]] auto field_of(std::size_t run, std::string_view name) const
        -> std::string
    {
        return run < requests.size()
                   ? std::string{http::find(requests[run].fields, name)
                                     .value_or("")}
                   : std::string{"there is no such run"};
    }

    std::deque<fake_replica> replicas;
    /// The requests in order, and the replicas that got them.
    std::vector<http::request> requests;
    std::vector<std::size_t> served_by;

private:
    auto serve(caller_session& to, http::request const& request) -> void
    {
        auto const run = requests.size();
        requests.push_back(request);
        auto fields = signed_fields(request);
        fields.push_back({"Run", std::to_string(run)});
        auto const& script = script_[std::min(run, script_.size() - 1)];
        if (script.how == scripted_run::ending::failure)
        {
            to.respond(script.status, std::move(fields), script.body);
            return;
        }
        to.begin_stream(script.status, "OK", std::move(fields));
        // An empty chunk would end the response.
        if (!script.body.empty())
        {
            to.stream(script.body);
        }
        if (script.how == scripted_run::ending::complete)
        {
            to.finish_stream();
            return;
        }
        to.close_incomplete();
    }

    std::vector<scripted_run> script_;
};

/// A relay before three replicas of a scripted engine.
struct scripted_world
{
    explicit scripted_world(std::vector<scripted_run> script)
        : engine(world.loop, 3, std::move(script))
    {
        world.configure(1);
        for (auto at = std::size_t{0}; at < engine.replicas.size(); ++at)
        {
            world.add(fmt::format("e{}", at), "engine", engine.replicas[at]);
        }
    }

    /// Sends a request for a short stream.
    auto request(std::string const& target, http::field_list fields = {})
        -> buffered_response
    {
        fields.push_back({"X-Sapphirereel-Token-Count", "10,20"});
        return world.start()
                   ? world.send_request("GET", target, std::move(fields))
                   : tl::unexpected(call_failure{
                         call_stage::connecting, "the relay did not start"});
    }

    relay_fixture world;
    scripted_engine engine;
};

} // namespace sapphirereel::relay::test

#endif
