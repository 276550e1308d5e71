#include "storechannel.h"

#include "clock.h"

namespace balsamloft {

StoreChannel::StoreChannel(boost::asio::io_context &context, std::string address,
                           const EntryProtocol &protocol, EntryState &state)
    : m_pool(context)
    , m_address(std::move(address))
    , m_protocol(protocol)
    , m_state(state)
{
}

StoreChannel::~StoreChannel()
{
    if (m_running)
        m_running->cancel();
}

void StoreChannel::call(StoreUse use, OutgoingCall call, CallLimits limits, Callback callback)
{
    m_waiting.push_back({use, std::move(call), limits, std::move(callback)});
    next();
}

void StoreChannel::next()
{
    if (m_running || m_waiting.empty())
        return;
    Waiting waiting = std::move(m_waiting.front());
    m_waiting.pop_front();
    ExchangeSettings settings;
    settings.endpoint = "store";
    settings.address = m_address;
    std::string text = formatRequest(waiting.call, m_address);
    m_running = std::make_shared<TimedCall>(
        m_pool, std::move(settings), std::move(text), waiting.limits,
        [this, sentAt = bootNow(), callback = std::move(waiting.callback)](CallOutcome outcome) {
            finished(outcome, sentAt, callback);
        });
    m_state.storeCalls[static_cast<std::size_t>(waiting.use)] += 1;
    m_running->start();
}

void StoreChannel::finished(const CallOutcome &outcome, Time sentAt, const Callback &callback)
{
    StoreAnswer answer;
    answer.mayHaveArrived = outcome.mayHaveArrived;
    answer.sentAt = sentAt;
    answer.arrivedAt = bootNow();
    if (outcome.status != 0)
        answer.reply = m_protocol.parseStoreReply(outcome.status, outcome.body);
    if (answer.reply.kind == StoreReply::Kind::Failed
        || answer.reply.kind == StoreReply::Kind::Rejected)
        m_state.storeFailures += 1;
    m_running.reset();
    callback(std::move(answer));
    next();
}

} // namespace balsamloft
