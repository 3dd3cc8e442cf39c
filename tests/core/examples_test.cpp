#include "core/settings.h"

#include "savorywick/servicedocument.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace savorywick;

namespace {

// A folder below examples/ and what its files must hold.
struct ExampleDeployment
{
    std::string folder;
    std::string zone;
    std::string region;
    std::vector<std::string> serviceDocuments;
};

const std::vector<ExampleDeployment> exampleDeployments{
    {"derwent", "hobart", "south-tas", {"matching", "rosters"}},
    {"kestrel", "yyc-a", "prairie-west", {"parts", "catalogue"}},
};

} // namespace

TEST_CASE("The example settings and service documents are valid and every team has a key")
{
    for (const ExampleDeployment &it : exampleDeployments) {
        const std::string folder = std::string(SOURCE_DIR) + "/examples/" + it.folder + "/";
        const Settings settings = loadSettings(folder + "entry.json");
        CHECK(settings.availabilityZone == it.zone);
        CHECK(settings.region == it.region);
        for (const std::string &name : it.serviceDocuments) {
            const ParsedDocument parsed = parseServiceDocument(readFile(folder + name + ".json"));
            INFO(parsed.faults.format(name));
            REQUIRE(parsed.document.has_value());
            CHECK(parsed.document->service == name);
            CHECK(std::any_of(settings.teamKeys.begin(), settings.teamKeys.end(),
                              [&](const TeamKey &k) { return k.team == parsed.document->team; }));
        }
    }
}
