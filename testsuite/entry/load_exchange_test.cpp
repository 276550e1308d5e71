// Processes that exchange the loads of services with each other.

#include "entryharness.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace balsamloft::testsuite;

namespace {

std::unique_ptr<Process> startInstance(const FakeStore &store, const std::string &name,
                                       const std::string &domain,
                                       const std::string &more = "--admission")
{
    return std::make_unique<Process>(
        "balsamloft-entry-standin",
        std::vector<std::string> {"--name=" + name, "--domain=" + domain,
                                  "--listen=" + freeAddress(), "--ready_listen=" + freeAddress(),
                                  "--peer_listen=" + freeAddress(), "--store=" + store.address(),
                                  more});
}

/// Returns the number of instances in the last sum of loads that \a process logged; 0: none.
int instancesCounted(const Process &process)
{
    const std::string output = process.output();
    const std::size_t line = output.rfind("\"part\":\"loads\",\"event\":\"counted\"");
    if (line == std::string::npos)
        return 0;
    const std::string name = "\"instances\":";
    return std::stoi(output.substr(output.find(name, line) + name.size()));
}

} // namespace

// Guards against sums that lack instances of the own or another domain, keep a reader that died, or
// contain one that exchanges no loads; and against sums that grow while instances read in a cycle,
// as they do during an outage of the store.
TEST_CASE("instances sum up the loads of both domains, also after a reader died", "[process]")
{
    FakeStore store;
    store.put("configuration", "current",
              R"({"version":1,"keys":{},"services":[{"name":"plain"}],"routes":[
                 {"name":"safe","host":"h","prefix":"/safe/","kind":"safe","service":"plain"}]})");
    std::vector<std::unique_ptr<Process>> instances;
    for (const std::string domain : {"a", "b"})
        for (const std::string number : {"1", "2", "3"})
            instances.push_back(startInstance(store, domain + number, domain));
    const auto without = startInstance(store, "b4", "b", "--noadmission");
    const auto allCount = [&](int expected) {
        return std::all_of(instances.begin(), instances.end(),
                           [&](const auto &each) { return instancesCounted(*each) == expected; });
    };
    CHECK(waitUntil([&] { return allCount(6); }));
    instances.front()->signal(SIGKILL);
    instances.erase(instances.begin());
    CHECK(waitUntil([&] { return allCount(5); }));
    store.down = true;
    std::this_thread::sleep_for(std::chrono::seconds(8));
    CHECK(allCount(5));
    CHECK(instancesCounted(*without) == 0);
    CHECK(without->running());
}
