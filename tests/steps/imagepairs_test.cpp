#include "savorywick/steps/imagepairs.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace savorywick::steps;

namespace {

void observe(ImagePairs &pairs, int times, bool over, std::vector<std::string> fillIns,
             const std::string &serving = "quotes")
{
    for (int i = 0; i < times; ++i)
        pairs.observe(serving, over, fillIns);
}

} // namespace

TEST_CASE("A pair that is often over the target is told from one that never is")
{
    ImagePairs pairs;
    observe(pairs, 20, false, {"quiet"});
    observe(pairs, 8, false, {"loud"});
    observe(pairs, 4, true, {"loud"});
    CHECK(pairs.harm("quotes", "loud") > 0.15);
    CHECK(pairs.harm("quotes", "quiet") < 0.02);
}

TEST_CASE("Harm beside several images is blamed on the one that is known for it")
{
    ImagePairs pairs;
    observe(pairs, 20, false, {"quiet"});
    observe(pairs, 6, true, {"loud"});
    const double before = pairs.harm("quotes", "quiet");
    observe(pairs, 6, true, {"loud", "quiet"});
    CHECK(pairs.harm("quotes", "quiet") < before + 0.05);
}

TEST_CASE("What is known of an image stands in for a pair that was never seen")
{
    ImagePairs pairs;
    const double unknown = pairs.harm("checks", "loud");
    observe(pairs, 10, true, {"loud"});
    CHECK(pairs.harm("checks", "loud") > 3 * unknown);
}

TEST_CASE("Observations without fill-in tasks teach nothing")
{
    ImagePairs pairs;
    const double before = pairs.harm("quotes", "loud");
    observe(pairs, 10, true, {});
    CHECK(pairs.harm("quotes", "loud") == before);
}
