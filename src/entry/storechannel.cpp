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
    if (m_currentCall)
        m_currentCall->cancel();
}

void StoreChannel::call(StoreUse use, OutgoingCall call, CallLimits limits, Callback callback)
{
    m_pendingCalls.push_back({use, std::move(call), limits, std::move(callback)});
    startNext();
}

void StoreChannel::startNext()
{
    if (m_currentCall || m_pendingCalls.empty())
        return;
    PendingCall pending = std::move(m_pendingCalls.front());
    m_pendingCalls.pop_front();
    ExchangeSettings settings;
    settings.endpoint = "store";
    settings.address = m_address;
    std::string text = formatRequest(pending.call, m_address);
    m_currentCall = std::make_shared<TimedCall>(
        m_pool, std::move(settings), std::move(text), pending.limits,
        [this, sentAt = bootNow(), callback = std::move(pending.callback)](CallOutcome outcome) {
            callFinished(outcome, sentAt, callback);
        });
    m_state.storeCalls[static_cast<std::size_t>(pending.use)] += 1;
    m_currentCall->start();
}

void StoreChannel::callFinished(const CallOutcome &outcome, Time sentAt, const Callback &callback)
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
    m_currentCall.reset();
    callback(std::move(answer));
    startNext();
}

} // namespace balsamloft
