#include "savorywick/faults.h"

namespace savorywick {

void FaultList::add(std::string_view path, std::string_view problem, std::string_view remedy)
{
    m_errors.push_back({std::string(path), std::string(problem), std::string(remedy)});
}

std::string FaultList::text(std::string_view file) const
{
    std::string buf;
    for (const Fault &it : m_errors) {
        buf.append(file).append(": ");
        if (!it.path.empty())
            buf.append(it.path).append(": ");
        buf.append(it.found).append("; ").append(it.remedy).append("\n");
    }
    return buf;
}

} // namespace savorywick
