#include <balsamloft/httpplatform.h>

#include <boost/json.hpp>

namespace http = boost::beast::http;
namespace json = boost::json;

namespace balsamloft {

namespace {

std::optional<json::value> parseBody(const HttpResult &result, unsigned status)
{
    if (!result.response || result.response->result_int() != status)
        return std::nullopt;
    json::error_code error;
    json::value value = json::parse(result.response->body(), error);
    if (error || !value.is_object())
        return std::nullopt;
    return value;
}

TableRow rowFromJson(const json::object &object)
{
    return {std::string(object.at("key").as_string()),
            object.at("version").to_number<std::uint64_t>(),
            std::string(object.at("value").as_string())};
}

json::object transactionJson(const Transaction &transaction)
{
    json::array checks;
    for (const RowCheck &check : transaction.checks)
        checks.push_back({{"table", check.table}, {"key", check.key}, {"version", check.version}});
    json::array writes;
    for (const RowWrite &write : transaction.writes)
        writes.push_back({{"table", write.table},
                          {"key", write.key},
                          {"value", write.value ? json::value(*write.value) : json::value()}});
    return {{"checks", std::move(checks)}, {"writes", std::move(writes)}};
}

TransactionOutcome outcomeOf(const HttpResult &result)
{
    using Kind = TransactionOutcome::Kind;
    if (!result.response)
        return {result.failure.kind == HttpFailure::Kind::NotSent ? Kind::NotCommitted
                                                                  : Kind::Unknown,
                {}};
    if (result.response->result() == http::status::ok)
        return {Kind::Committed, {}};
    const auto body = parseBody(result, 409);
    // With any status other than 200 and 409, the transaction may have been committed and its
    // answer lost inside the service.
    if (!body)
        return {Kind::Unknown, {}};
    TransactionOutcome outcome {Kind::Conflict, {}};
    for (const json::value &item : body->at("conflicts").as_array())
        outcome.conflicts.push_back({std::string(item.at("table").as_string()),
                                     std::string(item.at("key").as_string()),
                                     item.at("version").to_number<std::uint64_t>()});
    return outcome;
}

class HttpPlatform : public Platform
{
public:
    HttpPlatform(boost::asio::io_context &context, HttpPlatformSettings settings)
        : m_client(context, {.connectTimeout = settings.timeout})
        , m_settings(std::move(settings))
    {
    }

    void transact(Transaction transaction,
                  std::function<void(TransactionOutcome)> callback) override
    {
        send(http::verb::post, "/v1/transact", json::serialize(transactionJson(transaction)),
             [callback](const HttpResult &result) {
                 callWithParsed(callback, TransactionOutcome {}, [&] { return outcomeOf(result); });
             });
    }

    void read(std::string table, std::string key,
              std::function<void(ReadOutcome)> callback) override
    {
        send(http::verb::post, "/v1/read",
             json::serialize(json::object {{"table", table}, {"key", key}}),
             [callback](const HttpResult &result) {
                 callWithParsed(callback, ReadOutcome {}, [&] {
                     if (parseBody(result, 404))
                         return ReadOutcome {ReadOutcome::Kind::Missing, {}};
                     const auto body = parseBody(result, 200);
                     if (!body)
                         return ReadOutcome {};
                     return ReadOutcome {ReadOutcome::Kind::Found, rowFromJson(body->as_object())};
                 });
             });
    }

    void scan(std::string table, std::string after, std::size_t limit,
              std::function<void(ScanOutcome)> callback) override
    {
        send(http::verb::post, "/v1/scan",
             json::serialize(json::object {{"table", table}, {"after", after}, {"limit", limit}}),
             [callback](const HttpResult &result) {
                 callWithParsed(callback, ScanOutcome {}, [&] {
                     ScanOutcome outcome;
                     const auto body = parseBody(result, 200);
                     if (!body)
                         return outcome;
                     for (const json::value &row : body->at("rows").as_array())
                         outcome.rows.push_back(rowFromJson(row.as_object()));
                     outcome.available = true;
                     return outcome;
                 });
             });
    }

    void putObject(std::string name, std::string content,
                   std::function<void(bool)> callback) override
    {
        send(http::verb::put, "/v1/objects/" + name, std::move(content),
             [callback](const HttpResult &result) {
                 callback(result.response && result.response->result() == http::status::ok);
             });
    }

    void getObject(std::string name,
                   std::function<void(std::optional<std::string>)> callback) override
    {
        send(http::verb::get, "/v1/objects/" + name, {}, [callback](HttpResult result) {
            if (result.response && result.response->result() == http::status::ok)
                return callback(std::move(result.response->body()));
            callback(std::nullopt);
        });
    }

    void
    listInstances(std::function<void(std::optional<std::vector<ListedInstance>>)> callback) override
    {
        using List = std::optional<std::vector<ListedInstance>>;
        send(http::verb::get, "/v1/instances", {}, [callback](const HttpResult &result) {
            callWithParsed(callback, List {}, [&]() -> List {
                const auto body = parseBody(result, 200);
                if (!body)
                    return std::nullopt;
                std::vector<ListedInstance> list;
                for (const json::value &item : body->at("instances").as_array())
                    list.push_back({std::string(item.at("name").as_string()),
                                    std::string(item.at("peer_address").as_string()),
                                    item.at("generation").to_number<std::uint64_t>(),
                                    item.at("leaving").as_bool()});
                return list;
            });
        });
    }

private:
    /// Passes the result of \a parse to \a callback, or a default value if \a parse throws because
    /// the answer does not have the documented form.
    template<typename Callback, typename Fallback, typename Parse>
    static void callWithParsed(const Callback &callback, Fallback fallback, Parse parse)
    {
        try {
            fallback = parse();
        } catch (const std::exception &) {
            return callback(Fallback {});
        }
        callback(std::move(fallback));
    }

    void send(http::verb method, std::string target, std::string body,
              HttpClient::Callback callback)
    {
        HttpRequest request(method, target, 11);
        request.set(http::field::host, m_settings.address);
        request.set(http::field::content_type, "application/json");
        request.body() = std::move(body);
        m_client.send(m_settings.address, std::move(request), {.timeout = m_settings.timeout},
                      std::move(callback));
    }

    HttpClient m_client;
    HttpPlatformSettings m_settings;
};

} // namespace

std::unique_ptr<Platform> makeHttpPlatform(boost::asio::io_context &context,
                                           HttpPlatformSettings settings)
{
    return std::make_unique<HttpPlatform>(context, std::move(settings));
}

} // namespace balsamloft
