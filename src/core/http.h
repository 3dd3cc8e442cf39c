#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// A header of a request or an answer. Names compare without regard to case.
struct HttpHeader
{
    std::string name;
    std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

// Returns the value of the first header called `name`, or an empty view if there is none.
std::string_view headerValue(const HttpHeaders &headers, std::string_view name);

} // namespace savorywick
