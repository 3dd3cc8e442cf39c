#pragma once

#include "savorywick/clock.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick::steps {

// How fast operators' evacuations of availability zones take effect, and how zones return.
struct ZoneEvacuationSettings
{
    // Once this time has passed since an operator's request, no task is started in the zone.
    // Without a bound there are no evacuations: every zone may be used at any time.
    std::optional<Millis> bound;
    // The part of the bound that is left to start orders under way. An order is given up after half
    // of it, and then its fence is raised.
    Millis orderMargin{1'000};
    // A zone that returns to service may have cold workers, so what is offered of their capacity
    // rises steadily from the first share to all of it in this time.
    Millis rampTime{5'000};
    int rampFromPercent = 20;

    // Returns the age beyond which a copy of the operators' requests can't be relied on, or nothing
    // without a bound.
    std::optional<Millis> maxAge() const;
};

// Availability zones, by name.
using ZoneNames = std::set<std::string, std::less<>>;

// The operators' requests as they were read.
struct EvacuationReport
{
    ZoneNames zones; // To be evacuated.
    // The time up to which every change of the requests is contained. It is nothing if more changes
    // of that time may be missing.
    std::optional<Instant> currentAt;
};

// A zone that is evacuated from now on, or returns to service.
struct ZoneChange
{
    std::string zone;
    bool evacuated = false;
};

// Tells in which availability zones tasks may be started, from the operators' requests to evacuate
// zones and from the age of the copy of these requests.
//
// Use it before every start of a run. With no copy, or one that is too old, no zone may be used,
// since nobody can tell which zones are evacuated. Runs in progress are not concerned. An object
// that has no bound in its settings allows all starts. It may be copied; a copy doesn't follow the
// original. Not thread-safe.
//
// Example:
//   zones.update({{"zone-a"}, readAt}, now);
//   if (zones.mayStartIn(worker.availabilityZone, now))
//       start(worker);
class EvacuatedZones
{
public:
    explicit EvacuatedZones(const ZoneEvacuationSettings &settings = {});

    // Returns true if and only if zones can be evacuated.
    bool isEnabled() const { return m_settings.bound.has_value(); }
    // Replaces the zones by those of the report. Returns true if and only if what some zone offers
    // may have changed since the last call.
    bool update(const EvacuationReport &report, Instant now);

    // Returns true if and only if the copy of the requests is new enough to start anything.
    bool isCurrent(Instant now) const;
    bool isEvacuated(std::string_view zone) const;
    // Returns true if and only if a task may be started in the zone.
    bool mayStartIn(std::string_view zone, Instant now) const;
    // Returns the share of the zone's capacity that may be used, from 0 while it is evacuated to
    // 100. It does not depend on the age of the copy.
    int offeredPercent(std::string_view zone, Instant now) const;

    // Returns the zones that are evacuated.
    const ZoneNames &zones() const { return m_zones; }
    // Returns the age of the copy, or nothing if the requests were never read.
    std::optional<Millis> age(Instant now) const;
    // Returns how these zones differ from `earlier` ones.
    std::vector<ZoneChange> changesSince(const EvacuatedZones &earlier) const;

private:
    ZoneEvacuationSettings m_settings;
    ZoneNames m_zones;
    std::optional<Instant> m_currentAt;
    // The zones that offer only a part of their capacity yet, and since when.
    std::map<std::string, Instant, std::less<>> m_returnedAt;
};

} // namespace savorywick::steps
