/// \file
/// How knowledge of the store spreads among instances, in virtual time: a store
/// that is written to, and instances that follow it or each other by questions that
/// are held until there is news. Whom to ask, how rows are told and how long an answer is
/// waited for are the product's own decisions.

#pragma once

#include <balsamloft/peerdirectory.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace balsamloft::fakes {

/// How the store treats an instance.
enum class StoreBehavior : std::uint8_t { Healthy, Refusing, Silent };

/// What is emulated.
struct PropagationSettings
{
    std::size_t domains = 5;
    std::size_t instancesPerDomain = 59;
    Duration writeEvery {200'000}; ///< to the store, by others; 0: only by write()
    std::string row; ///< what is written, each time anew
    double wideMbps = 200; ///< link of the first instance of each domain
    double narrowMbps = 20; ///< links of all others
};

/// A fleet whose instances follow one table.
class PropagationEmulator
{
public:
    explicit PropagationEmulator(const PropagationSettings &settings);

    // Commands

    void run(Duration length);
    void setStore(StoreBehavior behavior);

    /// Something is written to the store, besides what is written at intervals.
    void write() { m_writes.push_back(m_now); }

    /// For one instance alone.
    void setStore(std::size_t instance, StoreBehavior behavior)
    {
        m_instances[instance].behavior = behavior;
    }

    /// Instances of a domain reach each other only, or all again.
    void partitionDomain(std::size_t domain, bool cut);
    void kill(std::size_t instance);

    /// A process that died begins anew; it knows nobody until it has read the list. For
    /// \a busy it is slow: it asks and answers nothing.
    void start(std::size_t instance, Duration busy = {});

    // Queries

    std::size_t size() const { return m_instances.size(); }
    Time now() const { return m_now; }
    std::uint64_t storeCalls() const { return m_storeCalls; }

    /// The oldest knowledge of all that live and are not cut off.
    Duration oldestAge() const;

    /// Of the instances, the most that ask one and the same instance now.
    std::size_t maxQueriersPerInstance() const;

    /// The oldest knowledge of those that know something and were in touch for \a length:
    /// neither they were dead, slow or cut off, nor did the store fail anyone.
    Duration oldestConnectedAge(Duration length) const;

    bool knows(std::size_t instance) const { return m_instances[instance].version > 0; }

    /// Instances that know all that was written.
    std::size_t upToDateCount() const;

    /// Answers with rows that instances began to send each other, ever.
    std::uint64_t answersSent() const { return m_answersSent; }

    /// Instances that took their knowledge for newer than it was, ever.
    std::uint64_t freshnessViolations() const { return m_freshnessViolations; }

private:
    /// What one instance tells another.
    struct Answer
    {
        std::uint64_t version = 0;
        Time knownAt {};
        bool direct = false;
        bool withRows = false; ///< it takes a share of the other's link
        double bytesLeft = 0;
    };

    struct Instance
    {
        PeerInstance self;
        std::size_t domain = 0;
        PeerDirectory directory;
        bool alive = true;
        Time busyUntil {};
        Time impairedAt {}; ///< last
        bool cut = false;
        StoreBehavior behavior = StoreBehavior::Healthy;
        std::uint64_t version = 0; ///< of the store, as known
        Time knownAt {};
        bool direct = false; ///< had it from the store, which still answers
        bool asking = false;
        bool ofStore = false; ///< the question is to the store
        std::size_t asked = 0; ///< the instance that is asked, otherwise
        Time askedKnewAt {}; ///< what the asked one knew when it was asked
        Time askedAt {};
        Time until {}; ///< the store's answer, or its failure, comes by then
        Time heldUntil {}; ///< the asked one answers by then, news or not
        std::optional<Answer> answer; ///< that is arriving
        std::optional<Time> readAt; ///< a part of it, last
        double linkBytesPerMs = 0;
        Time nextAt {}; ///< nothing is asked before
    };

    bool reaches(const Instance &from, const Instance &to) const;
    std::uint64_t versionAt(Time time) const;
    void ask(Instance &instance);
    void hear(Instance &instance);
    void pollStore(Instance &instance);
    void startAnswer(Instance &instance, const Instance &asked);
    void answered(Instance &instance);
    bool overdue(const Instance &instance) const;
    void endQuery(Instance &instance);
    void recordImpairment(Instance &instance) const;
    void transfer();
    static Duration waitOf(const Instance &instance);
    double shareOf(const Instance &instance) const;
    void learn(Instance &instance, std::uint64_t version, Time knownAt);

    PropagationSettings m_settings;
    std::vector<Instance> m_instances;
    std::vector<PeerInstance> m_list;
    Time m_begin {std::chrono::hours(1)};
    Time m_now = m_begin;
    std::vector<Time> m_writes;
    Time m_storeImpairedAt {}; ///< for any instance, last
    std::size_t m_rowBytes = 0; ///< as told
    std::vector<std::size_t> m_sending; ///< answers that each instance sends now
    std::uint64_t m_answersSent = 0;
    std::uint64_t m_storeCalls = 0;
    std::uint64_t m_freshnessViolations = 0;
};

} // namespace balsamloft::fakes
