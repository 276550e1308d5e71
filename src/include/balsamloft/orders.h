/// \file
/// Sends placement orders to engines under a lease, and repeats them until the engines report
/// the wanted state.

#pragma once

#include <balsamloft/placement.h>

#include <map>
#include <variant>

namespace balsamloft {

/// Settings of an OrderManager.
struct OrderSettings
{
    Duration resendAfter {5'000'000}; ///< if the engine does not report the wanted state
    Duration maxTransit {5'000'000}; ///< longest time that an order takes to arrive
    Duration leaseDuration {9'000'000};
};

/// The state that an engine reports.
struct ObservedEngine
{
    std::string engine;
    std::string model;
    LayerRange layers;
    bool loading = false;
};

/// An order to an engine. It has the complete wanted state, so that it can be repeated.
struct SendOrder
{
    std::string engine;
    std::uint64_t fencing = 0;
    Assignment wanted;
};

using OrderActions = std::vector<SendOrder>;

/// Decides which orders are due and may be sent now.
class OrderManager
{
public:
    explicit OrderManager(OrderSettings settings = {});

    // Commands

    /// Sets the wanted state of the engine of \a assignment. \a checksFencing: the engine
    /// refuses orders with an old fencing number.
    void setWanted(Assignment assignment, bool checksFencing);
    void remove(const std::string &engine);
    void observed(const ObservedEngine &engine);

    /// Appends the orders that are due. \a holdsLease, \a fencing and \a acquiredAt are the
    /// state of the lease, which must be read right before the call.
    void tick(bool holdsLease, std::uint64_t fencing, Time acquiredAt, Time now,
              OrderActions &actions);

    // Queries

    /// Whether the engine reports the wanted state.
    bool isApplied(const std::string &engine) const;

    /// Number of engines that are to hold a model and do not report it yet.
    std::uint32_t loading() const;

    /// A line for each engine that does not report the wanted state.
    std::vector<std::string> mismatches() const;
    std::uint64_t ordersSent() const { return m_ordersSent; }

private:
    struct Wanted
    {
        Assignment assignment;
        bool checksFencing = false;
        std::optional<ObservedEngine> observed;
        Time sentAt {};
        bool sent = false;
    };

    static bool matches(const Wanted &wanted);

    OrderSettings m_settings;
    std::map<std::string, Wanted> m_wanted;
    std::uint64_t m_ordersSent = 0;
};

} // namespace balsamloft
