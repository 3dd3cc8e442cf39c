#include "platform/clusterfeed.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::platform;

namespace {

constexpr const char *configuration = R"({"version":7,"routes":[
    {"name":"r1","host":"jobs.example","pathPrefix":"/fits/","kind":"unsafe","timeoutMs":3000,
     "targetDurationMs":500,"priority":2,"service":"matching","maxAttempts":4,"slackFactor":1.5},
    {"name":"broken","host":"jobs.example"}],
    "services":[],"limits":{"maxHeaderBytes":8000,"maxBodyBytes":0,"idleTimeoutMs":9000}})";

} // namespace

TEST_CASE("A configuration row is parsed into queues")
{
    const auto c = parseConfiguration(configuration);
    REQUIRE(c.has_value());
    CHECK(c->version == 7);
    REQUIRE(c->queues.size() == 1);
    const steps::Queue &queue = c->queues.front();
    CHECK(queue.pathPrefix == "/fits/");
    CHECK(queue.policy.service == "matching");
    CHECK(queue.policy.maxAttempts == 4);
    CHECK(queue.policy.slackFactor == 1.5);
    CHECK(queue.policy.targetDuration == Millis{500});
    CHECK(c->maxHeaderBytes == 8'000);
    CHECK(c->maxBodyBytes == 262'144); // A limit of 0 is ignored in favor of the default.
    CHECK(c->idleTimeout == Millis{9'000});
}

TEST_CASE("A malformed configuration row is rejected")
{
    for (const char *text :
         {"", "7", "{}", R"({"version":"7","routes":[]})", R"({"version":7,"routes":{}})"}) {
        CAPTURE(text);
        CHECK_FALSE(parseConfiguration(text).has_value());
    }
}
