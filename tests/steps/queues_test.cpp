#include "savorywick/steps/queues.h"

#include <doctest/doctest.h>

using namespace savorywick::steps;

namespace {

Queue queue(const std::string &name, const std::string &host, const std::string &prefix)
{
    Queue it{host, prefix, {}};
    it.policy.queue = name;
    return it;
}

QueueConfiguration configuration(std::uint64_t version)
{
    QueueConfiguration c;
    c.version = version;
    c.queues = {queue("all", "jobs.example", "/"), queue("fits", "jobs.example", "/fits/"),
                queue("other", "other.example", "/fits/")};
    return c;
}

} // namespace

TEST_CASE("A path selects the queue of its host with the longest matching prefix")
{
    QueueTable table;
    CHECK_FALSE(table.hasConfiguration());
    REQUIRE(table.apply(configuration(3)));
    struct Case
    {
        const char *host;
        const char *path;
        const char *queue;
        const char *rest;
    };
    for (const Case &it :
         {Case{"jobs.example", "/fits/ab", "fits", "ab"},
          Case{"jobs.example:80", "/fits/", "fits", ""}, Case{"jobs.example", "/x", "all", "x"},
          Case{"other.example", "/fits/ab", "other", "ab"}, Case{"other.example", "/x", "", ""},
          Case{"none", "/fits/ab", "", ""}}) {
        CAPTURE(it.path);
        const QueueMatch match = table.find(it.host, it.path);
        CHECK((match.queue ? match.queue->policy.queue : "") == it.queue);
        CHECK(match.pathSuffix == it.rest);
    }
}

TEST_CASE("A configuration that is not newer is ignored")
{
    QueueTable table;
    REQUIRE(table.apply(configuration(9)));
    CHECK_FALSE(table.apply(configuration(9)));
    CHECK_FALSE(table.apply(configuration(8)));
    CHECK(table.apply(configuration(14)));
}
