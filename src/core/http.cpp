#include "core/http.h"

#include <algorithm>
#include <cctype>

namespace savorywick {

namespace {

bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    const auto equal = [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), equal);
}

} // namespace

std::string_view headerValue(const HttpHeaders &headers, std::string_view name)
{
    for (const HttpHeader &it : headers) {
        if (equalIgnoringCase(it.name, name))
            return it.value;
    }
    return {};
}

} // namespace savorywick
