#include "savorywick/validationerrors.h"

namespace savorywick {

void ValidationErrors::add(std::string_view path, std::string_view problem, std::string_view remedy)
{
    m_errors.push_back({std::string(path), std::string(problem), std::string(remedy)});
}

std::string ValidationErrors::format(std::string_view file) const
{
    std::string buf;
    for (const ValidationError &it : m_errors) {
        buf.append(file).append(": ");
        if (!it.path.empty())
            buf.append(it.path).append(": ");
        buf.append(it.problem).append("; ").append(it.remedy).append("\n");
    }
    return buf;
}

} // namespace savorywick
