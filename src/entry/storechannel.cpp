#include "storechannel.h"

#include "clock.h"

#include <charconv>

namespace balsamloft {

namespace {

/// Parses the era that an answer states; 0 if it states none.
std::uint64_t statedEra(std::optional<std::string_view> field)
{
    std::uint64_t era = 0;
    if (!field)
        return 0;
    const char *end = field->data() + field->size();
    const auto parsed = std::from_chars(field->data(), end, era);
    return parsed.ec == std::errc {} && parsed.ptr == end ? era : 0;
}

} // namespace

StoreChannel::StoreChannel(boost::asio::io_context &context, std::string address,
                           const EntryProtocol &protocol, EntryState &state, StoreEras &eras)
    : m_pool(context)
    , m_address(std::move(address))
    , m_protocol(protocol)
    , m_state(state)
    , m_eras(eras)
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

void StoreChannel::cancelAll()
{
    m_pendingCalls.clear();
    if (const auto current = std::exchange(m_currentCall, nullptr))
        current->cancel();
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
    m_currentCall =
        std::make_shared<TimedCall>(m_pool, std::move(settings), std::move(text), pending.limits,
                                    [this, sentAt = bootNow(), newest = m_eras.newest(),
                                     callback = std::move(pending.callback)](CallOutcome outcome) {
                                        callFinished(outcome, sentAt, newest, callback);
                                    });
    m_state.storeCalls[static_cast<std::size_t>(pending.use)] += 1;
    m_currentCall->start();
}

StoreReply StoreChannel::parse(const CallOutcome &outcome, StoreVersion newestBefore)
{
    StoreReply reply = m_protocol.parseStoreReply(outcome.status, outcome.body);
    const auto era = m_eras.recordAnswer(
        newestBefore, statedEra(outcome.head.find(m_protocol.headers().storeEra)), reply.version);
    if (!era) {
        m_state.voidStoreAnswers += 1;
        return {};
    }
    reply.era = *era;
    return reply;
}

void StoreChannel::callFinished(const CallOutcome &outcome, Time sentAt, StoreVersion newestBefore,
                                const Callback &callback)
{
    StoreAnswer answer;
    answer.mayHaveArrived = outcome.mayHaveArrived;
    answer.sentAt = sentAt;
    answer.arrivedAt = bootNow();
    if (outcome.status != 0)
        answer.reply = parse(outcome, newestBefore);
    if (answer.reply.kind == StoreReply::Kind::Failed
        || answer.reply.kind == StoreReply::Kind::Rejected)
        m_state.storeFailures += 1;
    m_currentCall.reset();
    callback(std::move(answer));
    startNext();
}

} // namespace balsamloft
