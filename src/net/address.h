#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace savorywick {

// Parses "IP:PORT" and returns the endpoint, or nothing if the text is malformed.
//
// The host must be a numeric address; names are not resolved. An IPv6 address is written without
// brackets, since the last colon separates the port.
std::optional<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view address);

} // namespace savorywick
