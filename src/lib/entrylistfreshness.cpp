#include "savorywick/entrylistfreshness.h"

#include <algorithm>
#include <vector>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace savorywick {

EntryListFingerprint entryListFingerprint(std::span<const std::string> ids)
{
    EntryListFingerprint fingerprint;
    for (const std::string &id : ids)
        fingerprint.digest += XXH3_64bits(id.data(), id.size());
    fingerprint.entryCount = ids.size();
    return fingerprint;
}

EntryListFreshness::EntryListFreshness(Millis maxAge)
    : m_maxAge(maxAge)
{ }

void EntryListFreshness::recordRead(const EntryListFingerprint &fingerprint, Instant takenAt)
{
    m_fingerprint = fingerprint;
    m_takenAt = takenAt;
    m_longestDifferingList = 0;
    m_agreedAt.clear();
    updateConfirmedAt();
}

void EntryListFreshness::recordPeerQuery(const EntryListFingerprint &peerFingerprint)
{
    if (peerFingerprint == m_fingerprint || peerFingerprint.entryCount <= m_longestDifferingList)
        return;
    m_longestDifferingList = peerFingerprint.entryCount;
    updateConfirmedAt();
}

void EntryListFreshness::recordPeerReply(std::string_view peer,
                                         const EntryListFingerprint &peerFingerprint,
                                         Instant askedAt, Instant now)
{
    recordPeerQuery(peerFingerprint);
    const bool isRecent = m_confirmedAt && now - *m_confirmedAt <= m_maxAge;
    if (peerFingerprint != m_fingerprint || !isRecent)
        return;
    const auto [it, isNew] = m_agreedAt.try_emplace(std::string(peer), askedAt);
    it->second = std::max(it->second, askedAt);
    updateConfirmedAt();
}

// The list was up to date when it was read and at the latest time since which enough peers have
// confirmed it. Enough peers are those that form a majority of the entries with this entry.
void EntryListFreshness::updateConfirmedAt()
{
    m_confirmedAt = m_takenAt;
    const std::size_t peersForMajority =
        std::max(m_fingerprint.entryCount, m_longestDifferingList) / 2;
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
