// Performs the actions of the control thread's state machines.

#include "controlplane.h"

namespace balsamloft {

void ControlPlane::perform(ConfigActions &actions)
{
    for (ConfigAction &action : actions)
        std::visit([this](auto &specific) { (*this)(specific); }, action);
    if (!actions.empty())
        schedule();
}

void ControlPlane::perform(MembershipActions &actions)
{
    for (MembershipAction &action : actions)
        std::visit([this](auto &specific) { (*this)(specific); }, action);
}

void ControlPlane::perform(LeaseActions &actions)
{
    for (LeaseAction &action : actions)
        std::visit([this](auto &specific) { (*this)(specific); }, action);
}

void ControlPlane::perform(ClaimActions &actions)
{
    for (ClaimAction &action : actions)
        std::visit([this](auto &specific) { (*this)(specific); }, action);
    schedule();
}

void ControlPlane::operator()(ReadConfigHead &action)
{
    m_platform->read(std::string(ConfigTable), std::string(HeadKey),
                     [this, id = action.id](const ReadOutcome &outcome) {
                         ConfigActions actions;
                         m_config.headRead(id, outcome, steadyNow(), actions);
                         perform(actions);
                     });
}

void ControlPlane::operator()(ScanConfigChanges &action)
{
    m_platform->scan(std::string(ChangeTable), changeKey(action.after), action.limit,
                     [this, id = action.id](const ScanOutcome &outcome) {
                         ConfigActions actions;
                         m_config.changesScanned(id, outcome, steadyNow(), actions);
                         perform(actions);
                     });
}

void ControlPlane::operator()(ReadConfigSnapshot &action)
{
    m_platform->getObject(std::string(SnapshotObject),
                          [this, id = action.id](const std::optional<std::string> &content) {
                              ConfigActions actions;
                              m_config.snapshotRead(id, content, steadyNow(), actions);
                              perform(actions);
                          });
}

void ControlPlane::operator()(WriteConfigSnapshot &action)
{
    m_platform->putObject(std::string(SnapshotObject), std::move(action.content), [](bool written) {
        if (!written)
            log(LogLevel::Warning, "config", "cannot write the configuration snapshot");
    });
}

void ControlPlane::operator()(RequestPeerConfig &action)
{
    m_peers.send(action.peer, makeConfigRequest(m_config, m_membership.self(), action.after));
}

void ControlPlane::operator()(SendToPeer &action)
{
    m_peers.send(action.address, action.message);
}

void ControlPlane::operator()(SetEndpointLeaving &action)
{
    log(LogLevel::Info, "members",
        action.leaving ? "endpoint is leaving" : "endpoint is no longer leaving",
        {{"endpoint", action.endpoint}});
    for (TrafficWorker *worker : m_workers)
        worker->setLeaving(action.endpoint, action.leaving);
}

void ControlPlane::operator()(MemberChanged &action)
{
    log(LogLevel::Info, "members", "member state changed",
        {{"member", action.status.name}, {"state", std::string(toString(action.status.state))}});
}

void ControlPlane::operator()(ReadLease &action)
{
    m_platform->read(std::string(LeaseTable), action.key,
                     [this, id = action.id](const ReadOutcome &outcome) {
                         LeaseActions actions;
                         m_lease.readDone(id, outcome, steadyNow(), actions);
                         perform(actions);
                     });
}

void ControlPlane::operator()(WriteLease &action)
{
    m_platform->transact(std::move(action.transaction),
                         [this, id = action.id](const TransactionOutcome &outcome) {
                             LeaseActions actions;
                             m_lease.writeDone(id, outcome, steadyNow(), actions);
                             perform(actions);
                         });
}

void ControlPlane::operator()(CommitConfig &action)
{
    m_platform->transact(std::move(action.transaction),
                         [this, id = action.id](const TransactionOutcome &outcome) {
                             ConfigActions actions;
                             m_config.commitDone(id, outcome, steadyNow(), actions);
                             perform(actions);
                         });
}

void ControlPlane::operator()(InstallConfig &action)
{
    const ConfigHead &head = action.config->head();
    log(LogLevel::Info, "config", "configuration installed",
        {{"version", std::to_string(head.version)}, {"digest", head.digest.substr(0, 12)}});
    m_currentConfig = action.config;
    m_membership.setHead(head);
    m_membership.setInventory(action.config->instances());
    for (TrafficWorker *worker : m_workers) {
        worker->installConfig(action.config);
        // Membership may have recorded an endpoint as leaving before the configuration contained
        // the endpoint.
        for (const Endpoint &endpoint : action.config->endpoints()) {
            if (m_membership.endpointLeaving(endpoint.name))
                worker->setLeaving(endpoint.name, true);
        }
    }
}

void ControlPlane::operator()(ProposalDecided &action)
{
    const auto node = m_proposals.extract(action.id);
    if (!node.empty())
        node.mapped()(std::move(action.outcome));
}

void ControlPlane::operator()(RunClaimTransaction &action)
{
    m_platform->transact(std::move(action.transaction),
                         [this, id = action.id](const TransactionOutcome &outcome) {
                             ClaimActions actions;
                             m_claims.transactionDone(id, outcome, steadyNow(), actions);
                             perform(actions);
                         });
}

void ControlPlane::operator()(ReadClaimRow &action)
{
    m_platform->read(std::string(ClaimTable), action.key,
                     [this, id = action.id](const ReadOutcome &outcome) {
                         ClaimActions actions;
                         m_claims.readDone(id, outcome, steadyNow(), actions);
                         perform(actions);
                     });
}

void ControlPlane::operator()(ClaimDecided &action)
{
    m_workers[action.owner.worker]->claimAnswered(action.owner.request, std::move(action.answer));
}

} // namespace balsamloft
