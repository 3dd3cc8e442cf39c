#include "savorywick/steps/duequeue.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

using namespace savorywick;
using namespace savorywick::steps;

TEST_CASE("A due queue gives the keys that are due once and sorted")
{
    DueQueue<std::string> queue;
    CHECK_FALSE(queue.nextAt());
    queue.schedule("b", Instant{10});
    queue.schedule("a", Instant{20});
    queue.schedule("c", Instant{21});
    CHECK(queue.nextAt() == Instant{10});
    CHECK(queue.contains("b"));
    CHECK_FALSE(queue.contains("d"));
    CHECK(queue.takeDue(Instant{9}).empty());
    CHECK(queue.takeDue(Instant{20}) == std::vector<std::string>{"a", "b"});
    CHECK(queue.takeDue(Instant{20}).empty());
    CHECK_FALSE(queue.contains("b"));
    CHECK(queue.nextAt() == Instant{21});
}

TEST_CASE("A key of a due queue has the time that was set last until it is cancelled")
{
    DueQueue<int> queue;
    queue.schedule(1, Instant{10});
    queue.schedule(1, Instant{30});
    queue.schedule(2, Instant{30});
    queue.schedule(2, Instant{5});
    queue.cancel(3);
    CHECK(queue.takeDue(Instant{29}) == std::vector<int>{2});
    queue.cancel(1);
    CHECK(queue.takeDue(Instant{30}).empty());
    CHECK_FALSE(queue.nextAt());
}

TEST_CASE("A due queue agrees with a scan of all keys")
{
    CHECK(rc::check("random calls", [] {
        DueQueue<int> queue;
        std::map<int, Instant> model;
        Instant now{0};
        const int calls = *rc::gen::inRange(1, 100);
        for (int i = 0; i < calls; ++i) {
            const int key = *rc::gen::inRange(0, 8);
            const Instant at = now + Millis{*rc::gen::inRange(0, 20)};
            if (*rc::gen::inRange(0, 4) == 0) {
                queue.cancel(key);
                model.erase(key);
            } else {
                queue.schedule(key, at);
                model[key] = at;
            }
            now = now + Millis{*rc::gen::inRange(0, 5)};
            std::vector<int> due;
            for (const auto &[k, t] : model) {
                if (t <= now)
                    due.push_back(k);
            }
            std::erase_if(model, [&](const auto &entry) { return entry.second <= now; });
            RC_ASSERT(queue.takeDue(now) == due);
        }
    }));
}
