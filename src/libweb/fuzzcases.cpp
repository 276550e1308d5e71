#include "fuzzcases.h"

#include "../entry/httpmessage.h"

#include <balsamloft/answerrules.h>
#include <balsamloft/callerapi.h>
#include <balsamloft/configmanager.h>
#include <balsamloft/enginewire.h>
#include <balsamloft/entryprotocol.h>
#include <balsamloft/peersocket.h>
#include <balsamloft/resourceaccount.h>

#include <boost/beast/http/parser.hpp>

#include <algorithm>
#include <cstdlib>
#include <map>

namespace http = boost::beast::http;

namespace balsamloft::fuzz {

namespace {

void require(bool condition)
{
    if (!condition)
        std::abort();
}

ConfigPtr minimalConfig()
{
    const ConfigEntries entries {
        {"rules/models/m", R"({"name":"m","layers":4})"},
        {"rules/teams/t", R"({"name":"t","share":0.5,"token_sha256":")" + sha256Hex("t") + "\"}"}};
    std::vector<Problem> problems;
    return compileConfig(entries, {1, "d"}, problems);
}

} // namespace

void callerRequest(std::string_view bytes)
{
    static const ConfigPtr config = minimalConfig();
    http::request_parser<http::string_body> parser;
    parser.eager(true);
    parser.header_limit(4096);
    parser.body_limit(65536);
    boost::system::error_code error;
    while (!bytes.empty() && !error && !parser.is_done()) {
        const std::size_t used = parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
        bytes.remove_prefix(used);
        if (used == 0)
            break;
    }
    if (error || !parser.is_done())
        return;
    const auto read = readCallerRequest(parser.get(), *config, {}, Time {});
    if (const auto *call = std::get_if<CallerRequest>(&read)) {
        require(config->team(call->request.team) != nullptr);
        require(call->request.deadline > Time {});
    } else {
        require(std::get<CallerError>(read).status >= 400);
    }
}

void document(std::string_view bytes)
{
    std::vector<Problem> problems;
    for (const auto parse : {&parseInventory, &parseRules}) {
        const auto entries = parse(bytes, problems);
        if (!entries) {
            require(!problems.empty());
            continue;
        }
        std::vector<Problem> compileProblems;
        const ConfigPtr config = compileConfig(*entries, {1, "d"}, compileProblems);
        require((config == nullptr) == !compileProblems.empty());
    }
}

void engineEntry(std::string_view bytes)
{
    static const std::unique_ptr<EntryProtocol> protocol = makeEntryProtocol();
    const std::size_t line = std::min(bytes.find('\n'), bytes.size());
    const std::string_view key = bytes.substr(0, line);
    const std::string_view value = bytes.substr(std::min(line + 1, bytes.size()));
    Reason reason;
    if (const auto endpoint = protocol->parseEndpoint(key, value, reason)) {
        require(endpoint->name == key && !endpoint->service.empty());
        require(endpoint->layers.begin <= endpoint->layers.end);
    } else {
        require(!reason.empty());
    }
    protocol->parseReport(value, reason);
    std::vector<Reason> skippedEntries;
    protocol->parseRouteTable(value, skippedEntries, reason);
}

void messages(std::string_view bytes)
{
    Reason reason;
    if (const auto change = changeFromJson(bytes, reason))
        require(changeFromJson(toJson(*change), reason).has_value());
    snapshotFromJson(bytes, reason);
    wireStepFromJson(bytes, reason);
    wireStepAnswerFromJson(bytes, reason);
    if (const auto message = decodePeerMessage(bytes, reason))
        require(decodePeerMessage(encodePeerMessage(*message), reason).has_value());
}

namespace {

/// What becomes of an answer that arrives in pieces of \a pieceBytes.
std::optional<std::string> readAnswer(std::string_view bytes, std::size_t pieceBytes)
{
    MessageReader reader(MessageReader::Kind::Response, {4096, 65536});
    std::string unread;
    while (!bytes.empty() && !reader.done()) {
        const std::string_view piece = bytes.substr(0, pieceBytes);
        unread += piece;
        bytes.remove_prefix(piece.size());
        reader.consumeFrom(unread);
    }
    reader.connectionClosed();
    if (!reader.done() || reader.failure() != MessageReader::Failure::None)
        return std::nullopt;
    require(isHttpStatus(static_cast<unsigned>(reader.head().status)));
    for (const HeaderField &field : reader.head().fields) {
        require(!field.name.empty());
        require(field.name.find_first_of(" \t\r\n:") == std::string::npos);
        require(field.value.find_first_of(std::string_view("\r\n\0", 3)) == std::string::npos);
    }
    return std::to_string(reader.head().status) + reader.body();
}

} // namespace

void answer(std::string_view bytes)
{
    const auto whole = readAnswer(bytes, std::max<std::size_t>(1, bytes.size()));
    const auto inBytes = readAnswer(bytes, 1);
    // A long head that arrives at once is read before its length is seen.
    require(!whole || !inBytes || *whole == *inBytes);
}

namespace {

/// A client that holds something until it is displaced.
struct HoldingClient : private ResourceHolder
{
    HoldingClient(const ResourceGroupPtr &group, ResourceUse use, Time now)
        : hold(group, use, *this, now)
    {
    }
    void displace() override { displaced = true; }

    bool displaced = false;
    ResourceHold hold;
};

void takeStep(HoldingClient &client, unsigned action, std::uint64_t amount, Time now)
{
    constexpr std::uint64_t LargeUnit = 64 * 1024;
    switch (action) {
    case 0:
        client.hold.openConnection(now);
        return;
    case 1:
        client.hold.resize(amount * LargeUnit, now);
        return;
    case 2:
        client.hold.growTo(amount, now);
        return;
    case 3:
        client.hold.recordProgress(amount * amount, now);
        return;
    default:
        client.hold.setDisplaceable(action % 2 == 0);
    }
}

} // namespace

void resources(std::string_view bytes)
{
    constexpr ResourceLimits Limits {.bytes = 16U << 20U, .connections = 32};
    constexpr std::size_t StepBytes = 3;
    constexpr unsigned Actions = 7;
    ResourceAccount account(Limits);
    const auto group = std::make_shared<ResourceGroup>(&account);
    std::map<unsigned, std::unique_ptr<HoldingClient>> clients;
    Time now {std::chrono::hours(1)};
    for (; bytes.size() >= StepBytes; bytes.remove_prefix(StepBytes)) {
        const auto byte = [&](std::size_t i) { return static_cast<unsigned char>(bytes[i]); };
        auto &client = clients[byte(0)];
        const unsigned action = byte(1) % Actions;
        if (!client || client->displaced)
            client = std::make_unique<HoldingClient>(
                group, static_cast<ResourceUse>(byte(0) % ResourceUseNames.size()), now);
        else if (action == Actions - 1)
            client.reset();
        else
            takeStep(*client, action, byte(2), now);
        now += Duration(byte(2) * 1000);
        require(account.bytes() <= Limits.bytes);
        require(account.connections(ResourceUse::Request)
                <= account.maxConnections(ResourceUse::Request));
    }
    clients.clear();
    require(account.bytes() == 0);
}

} // namespace balsamloft::fuzz
