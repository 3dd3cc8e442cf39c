#include "savorywick/listtrust.h"

#include <algorithm>
#include <vector>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace savorywick {

ListView listViewOf(std::span<const std::string> ids)
{
    ListView view;
    for (const std::string &id : ids)
        view.digest += XXH3_64bits(id.data(), id.size());
    view.entries = ids.size();
    return view;
}

ListTrust::ListTrust(Millis longestAge)
    : m_longestAge(longestAge)
{ }

void ListTrust::noteRead(const ListView &view, Instant takenAt)
{
    m_view = view;
    m_takenAt = takenAt;
    m_longestListHeard = 0;
    m_agreedAt.clear();
    workOut();
}

void ListTrust::noteQuestion(const ListView &theirs)
{
    if (theirs == m_view || theirs.entries <= m_longestListHeard)
        return;
    m_longestListHeard = theirs.entries;
    workOut();
}

void ListTrust::noteAnswer(std::string_view peer, const ListView &theirs, Instant askedAt,
                           Instant now)
{
    noteQuestion(theirs);
    const bool stillGood = m_goodSince && now - *m_goodSince <= m_longestAge;
    if (theirs != m_view || !stillGood)
        return;
    const auto [it, isNew] = m_agreedAt.try_emplace(std::string(peer), askedAt);
    it->second = std::max(it->second, askedAt);
    workOut();
}

// The list is good since it was taken, or since the latest moment since which enough peers have
// agreed on it.
void ListTrust::workOut()
{
    m_goodSince = m_takenAt;
    const std::size_t enough = std::max(m_view.entries, m_longestListHeard) / 2;
    if (!m_takenAt || enough == 0 || m_agreedAt.size() < enough)
        return;
    std::vector<Instant> agreed;
    agreed.reserve(m_agreedAt.size());
    for (const auto &[peer, at] : m_agreedAt)
        agreed.push_back(at);
    std::sort(agreed.begin(), agreed.end());
    m_goodSince = std::max(*m_takenAt, agreed[agreed.size() - enough]);
}

} // namespace savorywick
