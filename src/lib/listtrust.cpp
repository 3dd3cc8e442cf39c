#include "savorywick/listtrust.h"

#include <algorithm>
#include <vector>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace savorywick {

ListView listViewOf(std::span<const std::string> ids)
{
    ListView fingerprint;
    for (const std::string &id : ids)
        fingerprint.digest += XXH3_64bits(id.data(), id.size());
    fingerprint.entries = ids.size();
    return fingerprint;
}

ListTrust::ListTrust(Millis maxAge)
    : m_maxAge(maxAge)
{ }

void ListTrust::noteRead(const ListView &fingerprint, Instant takenAt)
{
    m_fingerprint = fingerprint;
    m_takenAt = takenAt;
    m_longestDifferingList = 0;
    m_agreedAt.clear();
    updateConfirmedAt();
}

void ListTrust::noteQuestion(const ListView &peerFingerprint)
{
    if (peerFingerprint == m_fingerprint || peerFingerprint.entries <= m_longestDifferingList)
        return;
    m_longestDifferingList = peerFingerprint.entries;
    updateConfirmedAt();
}

void ListTrust::noteAnswer(std::string_view peer, const ListView &peerFingerprint, Instant askedAt,
                           Instant now)
{
    noteQuestion(peerFingerprint);
    const bool isRecent = m_confirmedAt && now - *m_confirmedAt <= m_maxAge;
    if (peerFingerprint != m_fingerprint || !isRecent)
        return;
    const auto [it, isNew] = m_agreedAt.try_emplace(std::string(peer), askedAt);
    it->second = std::max(it->second, askedAt);
    updateConfirmedAt();
}

// The list was up to date when it was read and at the latest time since which enough peers have
// confirmed it. Enough peers are those that form a majority of the entries with this entry.
void ListTrust::updateConfirmedAt()
{
    m_confirmedAt = m_takenAt;
    const std::size_t peersForMajority =
        std::max(m_fingerprint.entries, m_longestDifferingList) / 2;
    if (!m_takenAt || peersForMajority == 0 || m_agreedAt.size() < peersForMajority)
        return;
    std::vector<Instant> agreementTimes;
    agreementTimes.reserve(m_agreedAt.size());
    for (const auto &[peer, at] : m_agreedAt)
        agreementTimes.push_back(at);
    std::sort(agreementTimes.begin(), agreementTimes.end());
    m_confirmedAt = std::max(*m_takenAt, agreementTimes[agreementTimes.size() - peersForMajority]);
}

} // namespace savorywick
