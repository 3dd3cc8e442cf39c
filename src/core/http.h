#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// A header field of an HTTP request or response. Names are not case-sensitive.
struct HttpHeader
{
    std::string name;
    std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

// Returns the value of the first header named `name`, ignoring case, or an empty view if there is
// none. The view refers to `headers`.
std::string_view headerValue(const HttpHeaders &headers, std::string_view name);

} // namespace savorywick
