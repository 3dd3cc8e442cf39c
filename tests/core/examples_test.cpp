#include "core/settings.h"

#include "savorywick/servicedocument.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace savorywick;

namespace {

struct Deployment
{
    std::string folder;
    std::string zone;
    std::string region;
    std::vector<std::string> documents;
};

const std::vector<Deployment> deployments{
    {"derwent", "hobart", "south-tas", {"matching", "rosters"}},
    {"kestrel", "yyc-a", "prairie-west", {"parts", "catalogue"}},
};

} // namespace

TEST_CASE("The examples of both deployments are valid and their teams have keys")
{
    for (const Deployment &it : deployments) {
        const std::string folder = std::string(SOURCE_DIR) + "/examples/" + it.folder + "/";
        const Settings settings = loadSettings(folder + "entry.json");
        CHECK(settings.availabilityZone == it.zone);
        CHECK(settings.region == it.region);
        for (const std::string &name : it.documents) {
            const ParsedDocument parsed = parseServiceDocument(readFile(folder + name + ".json"));
            INFO(parsed.faults.format(name));
            REQUIRE(parsed.document.has_value());
            CHECK(parsed.document->service == name);
            CHECK(std::any_of(settings.teamKeys.begin(), settings.teamKeys.end(),
                              [&](const TeamKey &k) { return k.team == parsed.document->team; }));
        }
    }
}
