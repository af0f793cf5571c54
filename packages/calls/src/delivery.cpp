#include "sapphirereel/calls/delivery.hpp"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <tuple>

namespace sapphirereel::calls {

auto has_delivered_everything(int socket) -> bool
{
    auto unacknowledged = 0;
    std::ignore = ::ioctl(socket, SIOCOUTQ, &unacknowledged);
    return unacknowledged == 0;
}

} // namespace sapphirereel::calls
