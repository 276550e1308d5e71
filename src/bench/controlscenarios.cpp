#include "controlscenarios.h"

#include <algorithm>
#include <ctime>

namespace balsamloft::bench {

using namespace fakes;

namespace {

constexpr double SecondsPerChange = 86'400.0 / 2'500.0;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double cpuMicros()
{
    return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC;
}

} // namespace

PropagationResult runPropagation(const PropagationScenario &scenario)
{
    std::vector<double> times;
    PropagationResult result;
    for (std::uint64_t seed = 1; seed <= scenario.seeds; ++seed) {
        ControlHarness harness({.nodes = scenario.nodes,
                                .loss = scenario.loss,
                                .gossip = scenario.gossip,
                                .polling = scenario.polling,
                                .seed = seed});
        harness.runFor(std::chrono::seconds(30));
        harness.propose(0, ControlHarness::teamProposal("a", "a", 0.1));
        if (!harness.timeToVersion(1, std::chrono::seconds(60))) {
            ++result.timeouts;
            continue;
        }
        const auto partitioned = static_cast<std::size_t>(scenario.partitionedShare
                                                          * static_cast<double>(scenario.nodes));
        for (std::size_t i = 0; i < partitioned; ++i)
            harness.node(harness.size() - 1 - i).platformReachable = false;
        harness.runFor(std::chrono::milliseconds(1234 * seed));
        harness.propose(1, ControlHarness::teamProposal("b", "b", 0.1));
        const auto took = harness.timeToVersion(2, std::chrono::seconds(60));
        if (took)
            times.push_back(seconds(*took));
        else
            ++result.timeouts;
    }
    if (times.empty())
        return result;
    std::sort(times.begin(), times.end());
    result.medianSeconds = times[times.size() / 2];
    result.worstSeconds = times.back();
    return result;
}

ConfigEntries fleetEntries(std::size_t endpoints, std::size_t teams, std::size_t models)
{
    ConfigEntries entries;
    const auto put = [&](const std::string &section, const std::string &name,
                         const std::string &rest) {
        entries[section + name] = "{\"name\":\"" + name + "\"" + rest + "}";
    };
    for (int i = 0; i < 6; ++i)
        put("inventory/domains/", "domain-" + std::to_string(i), "");
    put("inventory/accelerators/", "card", R"(,"memory_gb":48)");
    for (std::size_t i = 0; i < models; ++i)
        put("rules/models/", "model-" + std::to_string(i), R"(,"layers":48,"weight_gb":60)");
    for (std::size_t i = 0; i < endpoints; ++i) {
        const std::string n = std::to_string(i);
        put("inventory/endpoints/", "engine-" + n,
            R"(,"accelerator":"card","address":"10.1.)" + std::to_string(i / 250) + "."
                + std::to_string(i % 250 + 1) + R"(:9000","domain":"domain-)"
                + std::to_string(i % 6) + R"(","layers":[0,48],"model":"model-)"
                + std::to_string(i % models) + R"(","slots":64,"speed":2,"version":"1")");
    }
    for (std::size_t i = 0; i < teams; ++i) {
        const std::string name = "team-" + std::to_string(i);
        put("rules/teams/", name, R"(,"share":0.002,"token_sha256":")" + sha256Hex(name) + "\"");
    }
    return entries;
}

CostResult runCost(std::size_t nodes, std::size_t endpoints, std::size_t teams)
{
    ControlHarness harness({.nodes = nodes, .loss = 0.01});
    harness.runFor(std::chrono::seconds(30));
    ConfigProposal proposal;
    proposal.id = "whole";
    for (const auto &[path, text] : fleetEntries(endpoints, teams, 32))
        proposal.edits.push_back({path, std::nullopt, text});
    harness.propose(0, std::move(proposal));
    harness.timeToVersion(1, std::chrono::seconds(60));
    harness.runFor(std::chrono::seconds(30));
    const auto totals = [&] {
        CostResult sum;
        for (std::size_t i = 0; i < harness.size(); ++i) {
            sum.bytesPerSecond += static_cast<double>(harness.node(i).bytesSent);
            sum.messagesPerSecond += static_cast<double>(harness.node(i).messagesSent);
            sum.readsPerSecond += static_cast<double>(harness.node(i).platformReads);
        }
        return sum;
    };
    const CostResult before = totals();
    const double cpuBefore = cpuMicros();
    constexpr double Window = 4 * SecondsPerChange;
    for (int i = 0; i < 4; ++i) {
        const std::string name = "extra-" + std::to_string(i);
        harness.propose(static_cast<std::size_t>(i) % nodes,
                        ControlHarness::teamProposal(name, name, 0.001));
        harness.runFor(Duration(static_cast<std::int64_t>(SecondsPerChange * 1e6)));
    }
    const double cpu = cpuMicros() - cpuBefore;
    const CostResult after = totals();
    const double perNode = Window * static_cast<double>(nodes);
    return {(after.bytesPerSecond - before.bytesPerSecond) / perNode,
            (after.messagesPerSecond - before.messagesPerSecond) / perNode,
            (after.readsPerSecond - before.readsPerSecond) / Window, cpu / perNode};
}

DetectionResult runDetection(std::size_t nodes, bool leaving, double loss)
{
    ControlHarness harness({.nodes = nodes, .loss = loss});
    harness.runFor(std::chrono::seconds(120));
    DetectionResult result;
    const std::size_t departed = nodes / 2;
    const std::string name = harness.node(departed).name;
    const MemberState wanted = leaving ? MemberState::Leaving : MemberState::Dead;
    const Time start = harness.now();
    if (leaving)
        harness.leave(departed);
    else
        harness.kill(departed);
    for (std::size_t detectedBy = 0; detectedBy + 1 < nodes;) {
        harness.runFor(std::chrono::milliseconds(100));
        detectedBy = 0;
        for (std::size_t i = 0; i < nodes; ++i)
            detectedBy += i != departed && harness.node(i).memberStates[name] == wanted ? 1 : 0;
        const double elapsed = seconds(harness.now() - start);
        if (detectedBy > 0 && result.firstSeconds == 0)
            result.firstSeconds = elapsed;
        result.allSeconds = elapsed;
        if (elapsed > 120)
            break;
    }
    for (std::size_t i = 0; i < nodes; ++i) {
        for (const auto &[other, state] : harness.node(i).memberStates)
            result.falseDeaths += other != name && state == MemberState::Dead ? 1 : 0;
    }
    return result;
}

} // namespace balsamloft::bench
