#include "savorywick/faults.h"

namespace savorywick {

void FaultList::add(std::string_view path, std::string_view found, std::string_view remedy)
{
    m_faults.push_back({std::string(path), std::string(found), std::string(remedy)});
}

std::string FaultList::text(std::string_view file) const
{
    std::string buf;
    for (const Fault &it : m_faults) {
        buf.append(file).append(": ");
        if (!it.path.empty())
            buf.append(it.path).append(": ");
        buf.append(it.found).append("; ").append(it.remedy).append("\n");
    }
    return buf;
}

} // namespace savorywick
