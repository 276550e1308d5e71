// Placement: queries the state of engines, sends orders to them and proposes configuration
// changes.

#include "controlplane.h"

#include <boost/beast/http/field.hpp>
#include <boost/json.hpp>

namespace http = boost::beast::http;

namespace balsamloft {

namespace {

constexpr Duration EngineRequestTimeout {1'000'000};

/// Parses an engine's answer to `GET /v1/state`: its model, its layers and whether it is loading.
std::optional<ObservedEngine> readEngineState(const std::string &name, const HttpResult &result)
{
    if (!result.response || result.response->result_int() != 200)
        return std::nullopt;
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse(result.response->body(), error);
    const auto *object = error ? nullptr : value.if_object();
    const auto *model = object ? object->if_contains("model") : nullptr;
    const auto *layers = object ? object->if_contains("layers") : nullptr;
    const auto *loading = object ? object->if_contains("loading") : nullptr;
    if (!model || !model->is_string() || !layers || !layers->is_array()
        || layers->get_array().size() != 2 || !layers->at(0).is_int64()
        || !layers->at(1).is_int64())
        return std::nullopt;
    ObservedEngine observed;
    observed.engine = name;
    observed.model = std::string(model->get_string());
    observed.layers = {static_cast<std::uint32_t>(layers->at(0).get_int64()),
                       static_cast<std::uint32_t>(layers->at(1).get_int64())};
    observed.loading = loading && loading->is_bool() && loading->get_bool();
    return observed;
}

} // namespace

void ControlPlane::observeEngines()
{
    if (!m_currentConfig)
        return;
    for (const std::string &name :
         PlacementManager::placeableEngines(*m_currentConfig, m_settings.domain)) {
        HttpRequest request(http::verb::get, "/v1/state", 11);
        HttpClient::Options options;
        options.timeout = EngineRequestTimeout;
        m_engineClient.send(m_currentConfig->endpoint(name)->address, std::move(request), options,
                            [this, name](const HttpResult &result) {
                                const auto observed = readEngineState(name, result);
                                if (observed)
                                    m_placement.observed(*observed);
                            });
    }
}

void ControlPlane::tickPlacement(Time now)
{
    if (!m_currentConfig)
        return;
    OrderActions orders;
    std::vector<ProposePlacement> proposals;
    const LeaseView lease {m_lease.holds(now), m_lease.fencing(), m_lease.acquiredAt()};
    const auto demand = [this](std::string_view model) {
        return m_membership.demandInDomain("model/" + std::string(model), m_settings.domain);
    };
    m_placement.tick(*m_currentConfig, m_config.entries(), lease, demand, now, orders, proposals);
    for (const SendOrder &order : orders)
        sendOrder(order);
    for (ProposePlacement &proposal : proposals)
        proposePlacement(proposal);
}

void ControlPlane::sendOrder(const SendOrder &order)
{
    const Endpoint *endpoint = m_currentConfig->endpoint(order.engine);
    if (!endpoint)
        return;
    const LayerRange &layers = order.wanted.layers;
    HttpRequest request(http::verb::post, "/v1/orders", 11);
    request.set(http::field::content_type, "application/json");
    request.body() =
        boost::json::serialize(boost::json::object {{"fencing", order.fencing},
                                                    {"model", order.wanted.model},
                                                    {"version", order.wanted.version},
                                                    {"layers", {layers.begin, layers.end}}});
    HttpClient::Options options;
    options.timeout = EngineRequestTimeout;
    // The lease is checked again once the connection is established, immediately before the
    // request is sent, because the process may have been paused since the decision.
    options.maySend = [this, fencing = order.fencing] {
        return m_lease.holds(steadyNow()) && m_lease.fencing() == fencing;
    };
    log(LogLevel::Info, "placement", "sending order to engine",
        {{"engine", order.engine},
         {"model", order.wanted.model},
         {"fencing", std::to_string(order.fencing)}});
    m_engineClient.send(endpoint->address, std::move(request), options, [](const HttpResult &) {});
}

void ControlPlane::proposePlacement(ProposePlacement &proposal)
{
    ConfigProposal change;
    change.id = "placement/" + m_settings.name + "/" + std::to_string(m_incarnation) + "/"
                + std::to_string(++m_proposalNumber);
    change.author = "placement of " + m_settings.domain;
    change.summary = std::move(proposal.summary);
    change.edits = std::move(proposal.edits);
    propose(std::move(change), [this](const ProposalOutcome &) { m_placement.proposalDone(); });
}

} // namespace balsamloft
