#include "fakeinstances.h"

#include <cmath>

namespace savorywick::bench {

namespace {

constexpr double serviceTimeShape = 4; // Of the gamma distribution.

} // namespace

FakeInstances::FakeInstances(EventQueue &events, std::mt19937_64 &random,
                             const std::vector<InstanceInfo> &infos)
    : m_events(events)
    , m_random(random)
{
    for (const InstanceInfo &it : infos) {
        m_indexById[it.id] = static_cast<int>(m_instances.size());
        m_instances.push_back({it});
    }
}

std::vector<InstanceInfo> FakeInstances::infos() const
{
    std::vector<InstanceInfo> infos;
    infos.reserve(m_instances.size());
    for (const FakeInstance &it : m_instances)
        infos.push_back(it.info);
    return infos;
}

void FakeInstances::serve(const std::string &id, const Reply &reply)
{
    FakeInstance &instance = find(id);
    if (instance.lost) {
        m_events.scheduleAfter(connectTimeoutMicros, [=] { reply(AttemptOutcome::ConnectFailed); });
        return;
    }
    if (instance.failing) {
        reply(AttemptOutcome::Failed);
        return;
    }
    if (instance.slotsInUse >= instance.info.slots) {
        ++m_overruns;
        reply(AttemptOutcome::RefusedNotRun);
        return;
    }
    ++instance.slotsInUse;
    std::gamma_distribution<double> service(serviceTimeShape, meanServiceMicros / serviceTimeShape);
    const auto serviceMicros = std::llround(service(m_random) * instance.slowFactor);
    m_events.scheduleAfter(serviceMicros, [=, &instance] {
        --instance.slotsInUse;
        reply(instance.lost ? AttemptOutcome::Failed : AttemptOutcome::Answered);
    });
}

} // namespace savorywick::bench
