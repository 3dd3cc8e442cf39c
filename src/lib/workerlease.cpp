#include "savorywick/workerlease.h"

namespace savorywick {

const WorkerLeases::Lease *WorkerLeases::find(const std::string &worker) const
{
    const auto it = m_leases.find(worker);
    return it == m_leases.end() ? nullptr : &it->second;
}

void WorkerLeases::assumeRenewed(const std::string &worker, Instant now)
{
    Lease &lease = m_leases[worker];
    lease.lastSentAt = now - m_settings.renewalInterval;
    lease.silentSince = now;
}

bool WorkerLeases::isRenewalDue(const std::string &worker, Instant now) const
{
    const Lease *lease = find(worker);
    if (lease == nullptr || !lease->lastSentAt)
        return true;
    if (lease->inFlight || now - *lease->lastSentAt < m_settings.renewalInterval)
        return false;
    return !lease->silentSince || now - *lease->silentSince < m_settings.term;
}

void WorkerLeases::recordRenewalSent(const std::string &worker, Instant now)
{
    Lease &lease = m_leases[worker];
    lease.lastSentAt = now;
    lease.inFlight = true;
    if (!lease.silentSince)
        lease.silentSince = now;
}

bool WorkerLeases::recordRenewalReply(const std::string &worker, const std::string &incarnation)
{
    const auto it = m_leases.find(worker);
    if (it == m_leases.end() || !it->second.inFlight)
        return false;
    Lease &lease = it->second;
    lease.inFlight = false;
    lease.silentSince.reset();
    const bool granted = lease.incarnation.empty() || lease.incarnation == incarnation;
    lease.grantedRenewalSentAt = granted ? lease.lastSentAt : std::nullopt;
    if (!granted)
        lease.lastSentAt.reset();
    lease.incarnation = incarnation;
    return true;
}

void WorkerLeases::recordRenewalFailure(const std::string &worker)
{
    const auto it = m_leases.find(worker);
    if (it != m_leases.end())
        it->second.inFlight = false;
}

void WorkerLeases::recordRestart(const std::string &worker)
{
    const auto it = m_leases.find(worker);
    if (it != m_leases.end())
        it->second.grantedRenewalSentAt.reset();
}

bool WorkerLeases::hasLapsed(const std::string &worker, Instant now) const
{
    const Lease *lease = find(worker);
    if (lease == nullptr || !lease->silentSince)
        return false;
    const Instant lastRenewal = std::max(*lease->lastSentAt, *lease->silentSince);
    return now - lastRenewal >= m_settings.term * 2 + m_settings.clockDriftMargin;
}

bool WorkerLeases::isUsable(const std::string &worker, Instant now) const
{
    const Lease *lease = find(worker);
    return lease != nullptr && lease->grantedRenewalSentAt
        && now - *lease->grantedRenewalSentAt < m_settings.term;
}

std::string WorkerLeases::incarnation(const std::string &worker) const
{
    const Lease *lease = find(worker);
    return lease == nullptr ? std::string() : lease->incarnation;
}

std::optional<Instant> WorkerLeases::grantedRenewalSentAt(const std::string &worker) const
{
    const Lease *lease = find(worker);
    return lease == nullptr ? std::nullopt : lease->grantedRenewalSentAt;
}

} // namespace savorywick
