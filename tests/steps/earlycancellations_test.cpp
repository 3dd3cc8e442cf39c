#include "savorywick/steps/earlycancellations.h"

#include <doctest/doctest.h>

using namespace savorywick;
using namespace savorywick::steps;

TEST_CASE("Cancellations are counted for each queue and expire in the order of their times")
{
    constexpr Millis retention{1'000};
    EarlyCancellations cancellations;
    cancellations.add("late", "q", 3'000);
    cancellations.add("early", "q", 1'000);
    cancellations.add("other", "r", 2'000);
    cancellations.add("early", "r", 5'000); // A repetition.
    CHECK(cancellations.contains("early"));
    CHECK(cancellations.countOf("q") == 2);
    CHECK(cancellations.countOf("r") == 1);
    CHECK(cancellations.expired(retention, 1'999).empty());
    CHECK(cancellations.expired(retention, 3'000) == std::vector<std::string>{"early", "other"});
    cancellations.remove("early");
    cancellations.remove("early");
    cancellations.remove("other");
    CHECK_FALSE(cancellations.contains("early"));
    CHECK(cancellations.countOf("q") == 1);
    CHECK(cancellations.countOf("r") == 0);
    CHECK(cancellations.expired(retention, 4'000) == std::vector<std::string>{"late"});
    CHECK(cancellations.all().size() == 1);
}
