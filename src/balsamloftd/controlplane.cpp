#include "controlplane.h"

#include "adminserver.h"

#include <boost/asio/post.hpp>

namespace asio = boost::asio;

namespace balsamloft {

namespace {

constexpr Duration LongestSleep {1'000'000};
constexpr Duration SettleCheckInterval {10'000};

ConfigKeeperSettings keeperSettings(const DaemonSettings &settings)
{
    ConfigKeeperSettings result;
    result.pollInterval = settings.configPoll;
    return result;
}

ClaimSettings claimSettings(const DaemonSettings &settings, std::uint64_t incarnation)
{
    ClaimSettings result;
    result.instance = settings.name + "/" + std::to_string(incarnation);
    return result;
}

} // namespace

WallMillis wallNow()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

ControlPlane::ControlPlane(const DaemonSettings &settings, std::uint64_t incarnation,
                           std::uint64_t seed)
    : m_settings(settings)
    , m_incarnation(incarnation)
    , m_work(asio::make_work_guard(m_context))
    , m_timer(m_context)
    , m_platform(makeHttpPlatform(m_context, {settings.platform, settings.platformTimeout}))
    , m_config(keeperSettings(settings), seed)
    , m_claims(claimSettings(settings, incarnation))
    , m_admin(std::make_unique<AdminServer>(*this))
{
}

ControlPlane::~ControlPlane()
{
    stop();
}

bool ControlPlane::start(std::vector<TrafficWorker *> workers, Reason &reason)
{
    m_workers = std::move(workers);
    if (!m_admin->listen(m_settings.adminListen, reason))
        return false;
    asio::post(m_context, [this] { tick(); });
    m_thread = std::thread([this] { m_context.run(); });
    return true;
}

std::uint16_t ControlPlane::adminPort() const
{
    return m_admin->port();
}

void ControlPlane::stop()
{
    m_context.stop();
    if (m_thread.joinable())
        m_thread.join();
}

void ControlPlane::startClaim(std::uint32_t worker, StartClaim claim)
{
    asio::post(m_context, [this, worker, claim = std::move(claim)] {
        ClaimActions actions;
        m_claims.claim({worker, claim.request}, claim, steadyNow(), actions);
        perform(actions);
    });
}

void ControlPlane::settleClaim(std::uint32_t worker, SettleClaim settle)
{
    asio::post(m_context, [this, worker, settle = std::move(settle)] {
        ClaimActions actions;
        m_claims.settle({worker, settle.request}, settle.end, settle.answer, steadyNow(), actions);
        perform(actions);
    });
}

void ControlPlane::collectMetrics(std::function<void(std::string)> callback)
{
    struct Collection
    {
        std::string text;
        std::size_t missing = 0;
        std::function<void(std::string)> callback;
    };
    asio::post(m_context, [this, callback = std::move(callback)]() mutable {
        auto collection = std::make_shared<Collection>();
        collection->missing = m_workers.size();
        collection->callback = std::move(callback);
        renderControlMetrics(collection->text);
        for (TrafficWorker *worker : m_workers) {
            worker->renderMetrics([this, collection](std::string text) {
                asio::post(m_context, [collection, text = std::move(text)] {
                    collection->text += text;
                    if (--collection->missing == 0)
                        collection->callback(std::move(collection->text));
                });
            });
        }
    });
}

void ControlPlane::renderControlMetrics(std::string &text) const
{
    const std::pair<std::string_view, std::uint64_t> samples[] = {
        {"balsamloft_config_version", m_config.head().version},
        {"balsamloft_config_forks_total", m_config.forksSeen()},
        {"balsamloft_platform_reachable", m_config.platformReachable() ? 1U : 0U},
        {"balsamloft_claims_pending", m_claims.pending()},
        {"balsamloft_claims_unsettled", m_claims.unsettled()},
        {"balsamloft_claims_written_total", m_claims.claimsWritten()},
        {"balsamloft_claim_transactions_total", m_claims.transactions()},
        {"balsamloft_claim_settles_dropped_total", m_claims.settlesDropped()},
    };
    for (const auto &[name, value] : samples)
        renderSample(name, {}, static_cast<double>(value), text);
}

void ControlPlane::whenSettled(Duration patience, std::function<void()> callback)
{
    asio::post(m_context, [this, patience, callback = std::move(callback)] {
        checkSettled(steadyNow() + patience, callback);
    });
}

void ControlPlane::checkSettled(Time until, const std::function<void()> &callback)
{
    if (unsettledClaims() == 0 || steadyNow() >= until)
        return callback();
    auto timer = std::make_shared<asio::steady_timer>(m_context, SettleCheckInterval);
    timer->async_wait([this, timer, until, callback](boost::system::error_code) {
        checkSettled(until, callback);
    });
}

void ControlPlane::propose(ConfigProposal proposal, std::function<void(ProposalOutcome)> callback)
{
    m_proposals[proposal.id] = std::move(callback);
    ConfigActions actions;
    m_config.propose(std::move(proposal), wallNow(), steadyNow(), actions);
    perform(actions);
}

void ControlPlane::drain()
{
    if (m_drain)
        m_drain();
}

void ControlPlane::tick()
{
    const Time now = steadyNow();
    ConfigActions configActions;
    m_config.tick(now, configActions);
    perform(configActions);
    ClaimActions claimActions;
    m_claims.tick(now, claimActions);
    perform(claimActions);
    schedule();
}

void ControlPlane::schedule()
{
    Time at = steadyNow() + LongestSleep;
    if (const auto next = m_config.nextWakeup())
        at = std::min(at, *next);
    if (const auto next = m_claims.nextWakeup())
        at = std::min(at, *next);
    m_timer.expires_at(at);
    m_timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            tick();
    });
}

void ControlPlane::perform(ConfigActions &actions)
{
    for (ConfigAction &action : actions)
        std::visit([this](auto &specific) { (*this)(specific); }, action);
    if (!actions.empty())
        schedule();
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
            log(LogLevel::Warning, "config", "the snapshot could not be written");
    });
}

void ControlPlane::operator()(AskPeerForConfig &)
{
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
    log(LogLevel::Info, "config", "in force",
        {{"version", std::to_string(head.version)}, {"digest", head.digest.substr(0, 12)}});
    for (TrafficWorker *worker : m_workers)
        worker->installConfig(action.config);
}

void ControlPlane::operator()(ProposalDecided &action)
{
    const auto node = m_proposals.extract(action.id);
    if (!node.empty())
        node.mapped()(std::move(action.outcome));
}

void ControlPlane::operator()(ClaimTransact &action)
{
    m_platform->transact(std::move(action.transaction),
                         [this, id = action.id](const TransactionOutcome &outcome) {
                             ClaimActions actions;
                             m_claims.transactionDone(id, outcome, steadyNow(), actions);
                             perform(actions);
                         });
}

void ControlPlane::operator()(ClaimRead &action)
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
