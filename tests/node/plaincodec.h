#pragma once

#include "node/callerapi.h"

namespace savorywick::testing {

// A CallerCodec with plain-text bodies for tests. The body "job" is a job of one step, and
// "long-running" one whose task runs until it is cancelled and demands a core; valid job ids start
// with "id"; the header "Patience: short" sets a timeout of 600 ms instead of 3 s.
class PlainCodec final : public CallerCodec
{
public:
    std::optional<steps::JobSpec> decodeJob(std::string_view body, std::string_view id,
                                            const steps::QueuePolicy &policy,
                                            std::string &error) const override
    {
        if (body != "job" && body != "long-running") {
            error = "no job";
            return {};
        }
        steps::JobSpec spec;
        spec.id = std::string(id);
        spec.policy = policy;
        spec.steps.resize(1);
        spec.steps[0].longRunning = body == "long-running";
        if (spec.steps[0].longRunning)
            spec.steps[0].demand = {1'000, 1'000, 0};
        return spec;
    }
    bool isJobId(std::string_view text) const override { return text.starts_with("id"); }
    std::string encodeJobState(steps::JobState state) const override
    {
        return std::string(steps::toString(state));
    }
    std::string encodePendingCount(int pending) const override { return std::to_string(pending); }
    std::optional<Millis> callerTimeout(const HttpHeaders &headers) const override
    {
        if (headerValue(headers, "Patience") == "short")
            return Millis{600};
        return Millis{3'000};
    }
};

} // namespace savorywick::testing
