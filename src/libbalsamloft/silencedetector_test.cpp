#include <balsamloft/silencedetector.h>

#include <catch2/catch.hpp>

using namespace balsamloft;

namespace {

constexpr Duration PollTimeout {450'000};
constexpr Duration RoundTrip {2'000};
constexpr Time Start {std::chrono::hours(1)};

/// Polls engines in virtual time, each at a moment of its own.
class PolledDomain
{
public:
    PolledDomain(std::size_t engines, Duration interval)
        : m_engines(engines)
        , m_interval(interval)
    {
        for (std::size_t i = 0; i < engines; ++i)
            m_engines[i].nextPoll =
                Start
                + interval * static_cast<std::int64_t>(i) / static_cast<std::int64_t>(engines);
    }

    static std::string name(std::size_t engine) { return "e" + std::to_string(engine); }

    void hang(std::size_t engine) { m_engines[engine].answers = false; }
    void cutLinks() { m_cut = true; }

    /// Runs for \a length. Returns all engines that counted as silent at any time.
    std::set<std::string> run(Duration length)
    {
        constexpr Duration Step {1'000};
        std::set<std::string> silent;
        for (const Time end = m_now + length; m_now < end; m_now += Step) {
            for (std::size_t i = 0; i < m_engines.size(); ++i)
                step(i);
            if (const auto found = detector.silent())
                silent.insert(found->begin(), found->end());
        }
        return silent;
    }

    SilenceDetector detector;

private:
    struct Engine
    {
        Time nextPoll {};
        std::optional<Time> answerAt;
        std::optional<Time> missAt;
        bool answers = true;
    };

    void step(std::size_t number)
    {
        Engine &engine = m_engines[number];
        if (engine.answerAt && m_now >= *engine.answerAt) {
            engine.answerAt.reset();
            engine.missAt.reset();
            detector.recordAnswer(name(number), m_now);
        }
        if (engine.missAt && m_now >= *engine.missAt) {
            engine.missAt.reset();
            detector.recordMiss(name(number));
        }
        if (m_now < engine.nextPoll || engine.missAt)
            return;
        detector.recordPoll(name(number), m_now);
        engine.nextPoll = m_now + m_interval;
        engine.missAt = m_now + PollTimeout;
        if (engine.answers && !m_cut)
            engine.answerAt = m_now + RoundTrip;
    }

    std::vector<Engine> m_engines;
    Duration m_interval;
    bool m_cut = false;
    Time m_now = Start;
};

} // namespace

// Guards against crashes that are reported because the reader of the domain lost its own links.
TEST_CASE("no engine is silent when the reader's own links are cut")
{
    const std::size_t engines = GENERATE(2, 3, 12, 40);
    const Duration interval = GENERATE(Duration(200'000), Duration(700'000), Duration(1'500'000));
    const Duration before = Duration(3'000'000) + interval / GENERATE(1, 3, 7);
    PolledDomain domain(engines, interval);
    CHECK(domain.run(before).empty());
    domain.cutLinks();
    // The traffic thread reports requests without an answer as well.
    domain.detector.expectMiss(PolledDomain::name(0));
    INFO(engines << " engines, polled each " << interval.count() << " us");
    CHECK(domain.run(Duration(20'000'000)).empty());
}

TEST_CASE("an engine that hangs is silent soon, and no other one")
{
    const std::size_t engines = GENERATE(2, 3, 12, 40);
    PolledDomain domain(engines, Duration(700'000));
    domain.run(Duration(3'000'000));
    domain.hang(1);
    CHECK(domain.run(Duration(3'000'000)) == std::set {PolledDomain::name(1)});
    CHECK(domain.detector.silent() == std::set {PolledDomain::name(1)});
    domain.cutLinks();
    CHECK(domain.run(Duration(20'000'000)) == std::set {PolledDomain::name(1)});
}

TEST_CASE("an engine that answers again is not silent")
{
    SilenceDetector detector;
    const auto pollTwice = [&](const std::string &id) {
        for (int i = 0; i < 2; ++i) {
            detector.recordPoll(id, Start);
            detector.recordMiss(id);
        }
    };
    detector.recordAnswer("a", Start + Duration(1));
    pollTwice("b");
    CHECK(detector.silent() == std::set<std::string> {"b"});
    detector.recordAnswer("b", Start + Duration(2));
    CHECK(detector.silent()->empty());
    CHECK_FALSE(detector.missedLast("b"));
}

TEST_CASE("an engine whose process was replaced is silent without a missed poll")
{
    SilenceDetector detector;
    detector.recordAnswer("a", Start);
    detector.recordAnswer("b", Start);
    detector.recordReplaced("b");
    CHECK(detector.silent() == std::set<std::string> {"b"});
    FleetSnapshot fleet;
    fleet.endpoints.emplace_back().id = "a";
    detector.removeUnlisted(fleet);
    CHECK(detector.silent()->empty());
}
