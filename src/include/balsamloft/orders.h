/// \file
/// Carries placement out: orders to engines under a lease, re-asserted until
/// what is observed matches what is wanted.

#pragma once

#include <balsamloft/placement.h>

#include <map>
#include <variant>

namespace balsamloft {

/// Settings of an OrderManager.
struct OrderSettings
{
    Duration resendAfter {5'000'000}; ///< an order that shows no effect is sent again
    Duration maxTransit {5'000'000}; ///< longest that an order can be under way
    Duration leaseDuration {9'000'000};
};

/// What an engine says it holds.
struct ObservedEngine
{
    std::string engine;
    std::string model;
    LayerRange layers;
    bool loading = false;
};

/// An order: an absolute state, not a change, so that repeating one is harmless.
struct SendOrder
{
    std::string engine;
    std::uint64_t fencing = 0;
    Assignment wanted;
};

using OrderActions = std::vector<SendOrder>;

/// Decides which orders may be sent now.
class OrderManager
{
public:
    explicit OrderManager(OrderSettings settings = {});

    // Commands

    /// Wants \a assignment at its engine. \a checksFencing: the engine refuses
    /// orders with an old fencing number.
    void setWanted(Assignment assignment, bool checksFencing);
    void forget(const std::string &engine);
    void observed(const ObservedEngine &engine);

    /// Appends the orders that are due. \a holds and \a fencing are of the
    /// lease, read now; \a acquiredAt is when it was acquired.
    void tick(bool holds, std::uint64_t fencing, Time acquiredAt, Time now, OrderActions &actions);

    // Queries

    bool isApplied(const std::string &engine) const;

    /// Loads that were ordered and are not observed yet.
    std::uint32_t loading() const;

    /// Engines that show another state than wanted, with what they show.
    std::vector<std::string> mismatches() const;
    std::uint64_t ordersSent() const { return m_ordersSent; }

private:
    struct Wanted
    {
        Assignment assignment;
        bool checksFencing = false;
        std::optional<ObservedEngine> seen;
        Time sentAt {};
        bool sent = false;
    };

    static bool matches(const Wanted &wanted);

    OrderSettings m_settings;
    std::map<std::string, Wanted> m_wanted;
    std::uint64_t m_ordersSent = 0;
};

} // namespace balsamloft
