#include "sapphirereel/daemon/peer_link.hpp"

#include "sapphirereel/wire/peer_codec.hpp"

#include <utility>

namespace sapphirereel::daemon {

auto peer_link::open(
    asio::io_context& io,
    socket_address const& address,
    daemon_id const& self,
    core_loop& loop) -> result<std::unique_ptr<peer_link>>
{
    auto made = std::unique_ptr<peer_link>{new peer_link{self, loop}};
    auto transport = peer::transport::listen(
        io, address, {}, [link = made.get()](std::string const& bytes) {
            link->receive(bytes);
        });
    if (!transport)
    {
        return tl::unexpected(transport.error());
    }
    made->transport_ = std::move(*transport);
    return made;
}

peer_link::peer_link(daemon_id self, core_loop& loop)
    : self_(std::move(self))
    , loop_(loop)
{}

auto peer_link::perform(send_peer const& what) -> void
{
    transport_->send(what.to, encode_peer({self_, what.message}));
}

auto peer_link::receive(std::string const& bytes) -> void
{
    auto envelope = decode_peer(bytes);
    if (!envelope)
    {
        ++malformed_;
        return;
    }
    loop_.take(*envelope);
}

} // namespace sapphirereel::daemon
