#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace savorywick {

// Returns the endpoint that "IP:PORT" names, or nothing if it names none.
std::optional<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view address);

} // namespace savorywick
