/// \file
/// Tells engines that do not answer polls from the loss of this instance's own links.

#pragma once

#include <balsamloft/enginefleet.h>

namespace balsamloft {

/// Records the polls of a domain's engines by one instance and decides which engines are silent.
///
/// An engine is silent if it missed several polls, and others have answered since the last of these
/// was sent. Without such answers the instance's own links may be broken: the engines whose polls
/// are due first then miss them first.
class SilenceDetector
{
public:
    // Commands

    void recordPoll(const std::string &id, Time now);
    void recordAnswer(const std::string &id, Time now);

    /// The last poll of the engine was not answered.
    void recordMiss(const std::string &id);

    /// Requests to the engine are not answered: one missed poll suffices from now on.
    void expectMiss(const std::string &id);

    /// Another process answered at the engine's address, so the engine's process is gone.
    void recordReplaced(const std::string &id);

    /// Forgets engines that are not in \a fleet.
    void removeUnlisted(const FleetSnapshot &fleet);

    // Queries

    /// Whether the engine missed enough polls to be silent, if the links work.
    bool hasMissed(const std::string &id) const;

    /// Whether the last poll of the engine was not answered.
    bool missedLast(const std::string &id) const;

    /// The engines that are silent. Returns nothing if most engines miss their polls: then nothing
    /// is known of any, and to treat them as silent would leave the domain without paths.
    std::optional<std::set<std::string>> silent() const;

private:
    struct Engine
    {
        std::uint32_t misses = 0; ///< consecutive
        bool replaced = false;
        Time polledAt {};
        Time answeredAt {};
        Time missedSince {}; ///< when the poll was sent whose miss was the last one needed
    };

    bool isMissing(const Engine &engine) const;

    std::map<std::string, Engine> m_engines; ///< by id
};

} // namespace balsamloft
