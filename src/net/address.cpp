#include "net/address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <cstdint>
#include <string>

namespace savorywick {

std::optional<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return {};
    const std::string_view digits = address.substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size())
        return {};
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(std::string(address.substr(0, colon)), ec);
    if (ec)
        return {};
    return boost::asio::ip::tcp::endpoint(ip, port);
}

} // namespace savorywick
