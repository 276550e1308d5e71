/// \file
/// The other instances, and whom to read the store's tables from.

#pragma once

#include <balsamloft/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace balsamloft {

/// An instance that serves news to others.
struct PeerInstance
{
    std::string name;
    std::string domain;
    std::string address; ///< "IP:port" for other instances

    bool operator==(const PeerInstance &) const = default;
};

/// Decides who reads from the store: the first good instance of each domain, by
/// name. The others of the domain read from it, so the store's calls do not
/// grow with the number of instances. Whoever cannot read from the one before
/// it takes its place for a while; it only ever reads from instances before
/// itself, so no two read from each other.
class PeerDirectory
{
public:
    PeerDirectory(std::string self, std::string domain);

    // Commands

    /// The instances that are believed to live, this one among them or not.
    void replace(std::vector<PeerInstance> instances);

    /// The instance did not answer, or knew less than it should.
    void failed(const std::string &name, Time now);

    // Queries

    /// Whom to read from; nothing: from the store.
    const PeerInstance *reader(Time now) const;

    /// Whom to read from while the store turns this instance away; nothing: nobody.
    const PeerInstance *substitute(Time now) const;

    /// The instances that read for the other domains.
    std::vector<PeerInstance> readersElsewhere(Time now) const;

    /// Instances in this one's domain, and in all; at least one.
    std::size_t inDomain() const;
    std::size_t count() const;

private:
    bool good(const PeerInstance &instance, Time now) const;

    std::string m_self;
    std::string m_domain;
    std::vector<PeerInstance> m_instances; ///< by name
    std::map<std::string, Time, std::less<>> m_badUntil;
};

} // namespace balsamloft
