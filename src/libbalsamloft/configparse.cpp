// Splits documents into entries and compiles entries into a validated Config.

#include "jsonreader.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>
#include <set>

namespace json = boost::json;

namespace balsamloft {

namespace {

constexpr double MaxAmount = 1e6;
constexpr double MaxRate = 1e9;
constexpr double ShareTolerance = 1e-9;
constexpr Duration DefaultLatency {1000};
constexpr std::size_t Sha256HexLength = 64;

struct Section
{
    std::string_view list; ///< name of the list in the document
    bool named = true; ///< entries have a `name`; otherwise `from` and `to`
};

constexpr Section InventorySections[] = {
    {"domains"}, {"accelerators"}, {"instances"}, {"endpoints"}, {"links", false},
};
constexpr Section RulesSections[] = {{"models"}, {"services"}, {"teams"}};

std::string entryName(ObjectReader &reader, bool named)
{
    if (named)
        return reader.requiredText("name");
    std::string from = reader.requiredText("from");
    std::string to = reader.requiredText("to");
    if (to < from)
        std::swap(from, to);
    return from + "~" + to;
}

std::optional<ConfigEntries> parseDocument(std::string_view text, std::string_view document,
                                           std::span<const Section> sections,
                                           std::vector<Problem> &problems)
{
    const std::string documentPath(document);
    if (text.size() > MaxDocumentBytes) {
        problems.push_back({documentPath, std::to_string(text.size()) + " bytes",
                            "must be at most " + std::to_string(MaxDocumentBytes) + " bytes"});
        return std::nullopt;
    }
    Reason reason;
    const auto value = parseJson(text, reason);
    if (!value || !value->is_object()) {
        problems.push_back({documentPath, "", value ? "must be a JSON object" : reason});
        return std::nullopt;
    }
    const std::size_t problemsBefore = problems.size();
    ObjectReader reader(value->get_object(), documentPath, problems);
    ConfigEntries entries;
    for (const Section &section : sections) {
        const json::array *items = reader.array(section.list);
        if (!items)
            continue;
        for (std::size_t i = 0; i < items->size(); ++i) {
            const std::string itemPath =
                documentPath + "." + std::string(section.list) + "[" + std::to_string(i) + "]";
            const json::object *object = (*items)[i].if_object();
            if (!object) {
                problems.push_back({itemPath, "", "must be an object"});
                continue;
            }
            ObjectReader itemReader(*object, itemPath, problems);
            const std::string name = entryName(itemReader, section.named);
            if (name.find('/') != std::string::npos)
                itemReader.problem("name", "must not contain '/'");
            std::string key = documentPath + "/" + std::string(section.list) + "/" + name;
            if (!entries.emplace(std::move(key), canonicalJson((*items)[i])).second)
                itemReader.problem("name", "is a duplicate; names must be unique");
        }
    }
    reader.rejectUnknownKeys();
    if (problems.size() > problemsBefore)
        return std::nullopt;
    return entries;
}

bool isIpAndPort(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    std::string host(text.substr(0, colon));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    boost::system::error_code error;
    boost::asio::ip::make_address(host, error);
    const std::string_view port = text.substr(colon + 1);
    unsigned number = 0;
    const auto parsed = std::from_chars(port.data(), port.data() + port.size(), number);
    return !error && parsed.ec == std::errc {} && parsed.ptr == port.data() + port.size()
           && number > 0 && number < 65536;
}

} // namespace

/// Builds a Config from entries in two passes: first each entry by itself, then the
/// constraints between entries.
class ConfigCompiler
{
public:
    ConfigCompiler(Config &config, std::vector<Problem> &problems)
        : m_config(config)
        , m_problems(problems)
    {
    }

    void setHead(ConfigHead head) { m_config.m_head = std::move(head); }
    void addEntry(const std::string &path, const std::string &text);
    void crossCheck();

private:
    using Parser = void (ConfigCompiler::*)(ObjectReader &);

    void parseDomain(ObjectReader &reader);
    void parseAccelerator(ObjectReader &reader);
    void parseInstance(ObjectReader &reader);
    void parseEndpoint(ObjectReader &reader);
    void parseLink(ObjectReader &reader);
    void parseModel(ObjectReader &reader);
    void parseService(ObjectReader &reader);
    void parseTeam(ObjectReader &reader);
    void parsePlacement(ObjectReader &reader);
    void applyPlacements();
    static std::optional<LayerRange> readLayers(ObjectReader &reader);

    void checkDomain(const std::string &entryPath, const std::string &domain);
    void checkEndpoints();
    void checkLayerCoverage();
    void checkTeams();
    void index(std::string_view kind, const std::string &name, std::size_t position);

    Config &m_config;
    std::vector<Problem> &m_problems;

    struct ParserRow
    {
        std::string_view prefix;
        Parser parser;
    };
    static const ParserRow s_parsers[];

    /// An entry of placement: model and layers for one engine.
    struct PlacementDecision
    {
        std::string engine;
        std::string model;
        std::string version;
        std::string replica;
        LayerRange layers;
    };
    std::vector<PlacementDecision> m_placements;
};

const ConfigCompiler::ParserRow ConfigCompiler::s_parsers[] = {
    {"inventory/domains/", &ConfigCompiler::parseDomain},
    {"inventory/accelerators/", &ConfigCompiler::parseAccelerator},
    {"inventory/instances/", &ConfigCompiler::parseInstance},
    {"inventory/endpoints/", &ConfigCompiler::parseEndpoint},
    {"inventory/links/", &ConfigCompiler::parseLink},
    {"rules/models/", &ConfigCompiler::parseModel},
    {"rules/services/", &ConfigCompiler::parseService},
    {"rules/teams/", &ConfigCompiler::parseTeam},
    {PlacementSection, &ConfigCompiler::parsePlacement},
};

void ConfigCompiler::addEntry(const std::string &path, const std::string &text)
{
    Reason reason;
    const auto value = parseJson(text, reason);
    if (!value || !value->is_object()) {
        m_problems.push_back({path, "", value ? "must be an object" : reason});
        return;
    }
    for (const ParserRow &row : s_parsers) {
        if (!path.starts_with(row.prefix))
            continue;
        ObjectReader reader(value->get_object(), path, m_problems);
        (this->*row.parser)(reader);
        reader.rejectUnknownKeys();
        return;
    }
    m_problems.push_back({path, "", "is not a known kind of entry"});
}

void ConfigCompiler::index(std::string_view kind, const std::string &name, std::size_t position)
{
    m_config.m_index[std::string(kind) + name] = position;
}

void ConfigCompiler::parseDomain(ObjectReader &reader)
{
    FailureDomain domain {reader.requiredText("name"), reader.text("region", "default")};
    index("d/", domain.name, m_config.m_domains.size());
    m_config.m_domains.push_back(std::move(domain));
}

void ConfigCompiler::parseAccelerator(ObjectReader &reader)
{
    Accelerator accelerator;
    accelerator.name = reader.requiredText("name");
    accelerator.memoryGigabytes = reader.number("memory_gb", 0, 0, MaxAmount);
    accelerator.tokensPerSecond = reader.number("tokens_per_s", 0, 0, MaxRate);
    index("a/", accelerator.name, m_config.m_accelerators.size());
    m_config.m_accelerators.push_back(std::move(accelerator));
}

void ConfigCompiler::parseInstance(ObjectReader &reader)
{
    Instance instance {reader.requiredText("name"), reader.requiredText("domain"),
                       reader.requiredText("peer_address")};
    if (!isIpAndPort(instance.peerAddress))
        reader.problem("peer_address", "must be IP:port");
    m_config.m_instances.push_back(std::move(instance));
}

void ConfigCompiler::parseEndpoint(ObjectReader &reader)
{
    Endpoint endpoint;
    endpoint.name = reader.requiredText("name");
    const std::string kind = reader.text("kind", "engine");
    if (kind != "engine" && kind != "service")
        reader.problem("kind", "must be \"engine\" or \"service\"");
    endpoint.kind = kind == "service" ? EndpointKind::Service : EndpointKind::Engine;
    endpoint.address = reader.requiredText("address");
    if (!isIpAndPort(endpoint.address))
        reader.problem("address", "must be IP:port");
    endpoint.domain = reader.requiredText("domain");
    endpoint.slots = static_cast<std::uint32_t>(reader.number("slots", 1, 1, MaxAmount));
    endpoint.speed = reader.number("speed", 1, 1e-3, MaxAmount);
    if (endpoint.kind == EndpointKind::Service) {
        endpoint.service = reader.requiredText("service");
    } else {
        endpoint.accelerator = reader.text("accelerator");
        endpoint.model = reader.text("model");
        endpoint.version = reader.text("version");
        endpoint.checksFencing = reader.boolean("checks_fencing", false);
        const auto layers = readLayers(reader);
        endpoint.layers = layers.value_or(LayerRange {});
        endpoint.placeable = endpoint.model.empty();
        if (!layers && !endpoint.placeable)
            reader.problem("layers", "is required with a model, for example [0, 16]");
    }
    index("e/", endpoint.name, m_config.m_endpoints.size());
    m_config.m_endpoints.push_back(std::move(endpoint));
}

std::optional<LayerRange> ConfigCompiler::readLayers(ObjectReader &reader)
{
    const json::array *layers = reader.array("layers");
    if (!layers)
        return std::nullopt;
    const auto bound = [&](std::size_t i) {
        const json::value *value = i < layers->size() ? &(*layers)[i] : nullptr;
        return value && value->is_int64() ? value->get_int64() : -1;
    };
    if (layers->size() != 2 || bound(0) < 0 || bound(1) <= bound(0)
        || bound(1) > static_cast<std::int64_t>(MaxAmount)) {
        reader.problem("layers", "must be [first, last + 1], for example [0, 16]");
        return LayerRange {};
    }
    return LayerRange {static_cast<std::uint32_t>(bound(0)), static_cast<std::uint32_t>(bound(1))};
}

void ConfigCompiler::parseLink(ObjectReader &reader)
{
    Link link;
    link.from = reader.requiredText("from");
    link.to = reader.requiredText("to");
    link.latency = Duration(static_cast<std::int64_t>(reader.number("latency_us", 0, 0, MaxRate)));
    link.megabitsPerSecond = reader.number("mbit_per_s", 1000, 1e-3, MaxRate);
    if (link.to < link.from)
        std::swap(link.from, link.to);
    index("l/", link.from + "~" + link.to, m_config.m_links.size());
    m_config.m_links.push_back(std::move(link));
}

void ConfigCompiler::parseModel(ObjectReader &reader)
{
    Model model;
    model.name = reader.requiredText("name");
    model.version = reader.text("version", "1");
    model.layers = static_cast<std::uint32_t>(reader.number("layers", 0, 1, MaxAmount));
    if (model.layers == 0)
        reader.problem("layers", "must be at least 1");
    model.weightGigabytes = reader.number("weight_gb", 0, 0, MaxAmount);
    model.nonIdempotent = reader.boolean("non_idempotent", false);
    model.alertEndpoints =
        static_cast<std::uint32_t>(reader.number("alert_endpoints", 0, 0, MaxAmount));
    model.scaleToZero = reader.boolean("scale_to_zero", false);
    index("m/", model.name, m_config.m_models.size());
    m_config.m_models.push_back(std::move(model));
}

void ConfigCompiler::parseService(ObjectReader &reader)
{
    Service service;
    service.name = reader.requiredText("name");
    if (const json::array *paths = reader.array("paths")) {
        for (const json::value &item : *paths) {
            if (!item.is_object()) {
                reader.problem("paths", "must contain objects with \"prefix\"");
                continue;
            }
            ObjectReader rule(item.get_object(), reader.path() + ".paths", m_problems);
            service.paths.push_back(
                {rule.requiredText("prefix"), rule.boolean("non_idempotent", false)});
            rule.rejectUnknownKeys();
        }
    }
    index("s/", service.name, m_config.m_services.size());
    m_config.m_services.push_back(std::move(service));
}

void ConfigCompiler::parseTeam(ObjectReader &reader)
{
    Team team;
    team.name = reader.requiredText("name");
    team.tokenSha256 = reader.requiredText("token_sha256");
    if (team.tokenSha256.size() != Sha256HexLength)
        reader.problem("token_sha256", "must be the 64 hex digits of the token's SHA-256");
    team.share = reader.number("share", 0, 1e-6, 1);
    if (team.share <= 0)
        reader.problem("share", "must be above 0 and at most 1");
    const std::string priority = reader.text("max_priority", "normal");
    if (priority == "alert")
        team.maxPriority = Priority::Alert;
    else if (priority == "batch")
        team.maxPriority = Priority::Batch;
    else if (priority != "normal")
        reader.problem("max_priority", "must be \"alert\", \"normal\" or \"batch\"");
    team.requestsPerSecond = reader.number("requests_per_s", 0, 0, MaxRate);
    team.maxConcurrent =
        static_cast<std::uint32_t>(reader.number("max_concurrent", 0, 0, MaxAmount));
    index("t/", team.name, m_config.m_teams.size());
    index("k/", team.tokenSha256, m_config.m_teams.size());
    m_config.m_teams.push_back(std::move(team));
}

void ConfigCompiler::checkDomain(const std::string &entryPath, const std::string &domain)
{
    if (!m_config.m_index.contains("d/" + domain))
        m_problems.push_back({entryPath, domain, "must be one of the inventory's domains"});
}

void ConfigCompiler::checkEndpoints()
{
    for (const Endpoint &endpoint : m_config.m_endpoints) {
        const std::string entryPath = "inventory/endpoints/" + endpoint.name;
        checkDomain(entryPath + ".domain", endpoint.domain);
        if (endpoint.kind == EndpointKind::Service) {
            if (!m_config.m_services.empty() && !m_config.service(endpoint.service))
                m_problems.push_back(
                    {entryPath + ".service", endpoint.service, "must be a service of the rules"});
            continue;
        }
        if (!endpoint.accelerator.empty() && !m_config.accelerator(endpoint.accelerator))
            m_problems.push_back({entryPath + ".accelerator", endpoint.accelerator,
                                  "must be one of the inventory's accelerators"});
        // The inventory may be loaded before the rules. The models that it refers to are then
        // checked once the rules are loaded.
        if (endpoint.model.empty() || m_config.m_models.empty())
            continue;
        const Model *model = m_config.model(endpoint.model);
        if (!model)
            m_problems.push_back(
                {entryPath + ".model", endpoint.model, "must be a model of the rules"});
        else if (endpoint.layers.end > model->layers)
            m_problems.push_back(
                {entryPath + ".layers", std::to_string(endpoint.layers.end),
                 "must end at or before the model's " + std::to_string(model->layers) + " layers"});
    }
}

void ConfigCompiler::checkLayerCoverage()
{
    for (const Model &model : m_config.m_models) {
        std::set<std::uint32_t> reachable {0};
        bool isHeld = false;
        std::vector<LayerRange> ranges;
        for (const Endpoint &endpoint : m_config.m_endpoints) {
            if (endpoint.model == model.name && endpoint.layers.end > 0)
                ranges.push_back(endpoint.layers);
        }
        std::sort(ranges.begin(), ranges.end());
        for (const LayerRange &range : ranges) {
            isHeld = true;
            if (reachable.contains(range.begin))
                reachable.insert(range.end);
        }
        if (isHeld && !reachable.contains(model.layers))
            m_problems.push_back({"rules/models/" + model.name + ".layers",
                                  std::to_string(*reachable.rbegin()),
                                  "the model's endpoints do not hold all its layers: no chain "
                                  "of endpoints covers layers 0 to "
                                      + std::to_string(model.layers)});
    }
}

void ConfigCompiler::checkTeams()
{
    double sum = 0;
    std::set<std::string_view> digests;
    for (const Team &team : m_config.m_teams) {
        sum += team.share;
        if (!digests.insert(team.tokenSha256).second)
            m_problems.push_back({"rules/teams/" + team.name + ".token_sha256", "",
                                  "is another team's token; each team needs its own token"});
    }
    if (sum > 1 + ShareTolerance)
        m_problems.push_back(
            {"rules/teams", std::to_string(sum), "the shares of all teams must sum to at most 1"});
}

void ConfigCompiler::parsePlacement(ObjectReader &reader)
{
    PlacementDecision decision;
    decision.engine = reader.requiredText("engine");
    decision.model = reader.requiredText("model");
    decision.version = reader.text("version");
    decision.replica = reader.text("replica");
    decision.layers = readLayers(reader).value_or(LayerRange {});
    m_placements.push_back(std::move(decision));
}

void ConfigCompiler::applyPlacements()
{
    for (PlacementDecision &decision : m_placements) {
        const auto it = m_config.m_index.find("e/" + decision.engine);
        // The inventory takes precedence. If operators have removed an engine or assigned a model
        // to it, ignore the engine's placement instead of rejecting the operators' change.
        if (it == m_config.m_index.end() || !m_config.m_endpoints[it->second].placeable)
            continue;
        const Model *model = m_config.model(decision.model);
        if (!model || decision.layers.end > model->layers)
            continue;
        Endpoint &endpoint = m_config.m_endpoints[it->second];
        endpoint.model = std::move(decision.model);
        endpoint.version = std::move(decision.version);
        endpoint.replica = std::move(decision.replica);
        endpoint.layers = decision.layers;
    }
}

void ConfigCompiler::crossCheck()
{
    std::set<std::string_view> addresses;
    for (const Endpoint &endpoint : m_config.m_endpoints) {
        if (!addresses.insert(endpoint.address).second)
            m_problems.push_back({"inventory/endpoints/" + endpoint.name + ".address",
                                  endpoint.address, "is another endpoint's address"});
    }
    for (const Instance &instance : m_config.m_instances)
        checkDomain("inventory/instances/" + instance.name + ".domain", instance.domain);
    for (const Link &link : m_config.m_links) {
        checkDomain("inventory/links/" + link.from + "~" + link.to + ".from", link.from);
        checkDomain("inventory/links/" + link.from + "~" + link.to + ".to", link.to);
    }
    checkEndpoints();
    checkLayerCoverage();
    checkTeams();
    applyPlacements();
}

std::string Problem::text() const
{
    return path + ": " + (value.empty() ? "" : value + ": ") + advice;
}

std::optional<ConfigEntries> parseInventory(std::string_view text, std::vector<Problem> &problems)
{
    return parseDocument(text, "inventory", InventorySections, problems);
}

std::optional<ConfigEntries> parseRules(std::string_view text, std::vector<Problem> &problems)
{
    return parseDocument(text, "rules", RulesSections, problems);
}

ConfigPtr compileConfig(const ConfigEntries &entries, ConfigHead head,
                        std::vector<Problem> &problems)
{
    const std::size_t problemsBefore = problems.size();
    auto config = std::make_shared<Config>();
    ConfigCompiler compiler(*config, problems);
    compiler.setHead(std::move(head));
    for (const auto &[path, text] : entries)
        compiler.addEntry(path, text);
    compiler.crossCheck();
    if (problems.size() > problemsBefore)
        return nullptr;
    return config;
}

namespace {

template<typename Item, typename Index>
const Item *findItem(const Index &index, const std::vector<Item> &items, std::string_view kind,
                     std::string_view name)
{
    std::string key;
    key.reserve(kind.size() + name.size());
    key.append(kind).append(name);
    const auto it = index.find(key);
    return it == index.end() ? nullptr : &items[it->second];
}

} // namespace

const Model *Config::model(std::string_view name) const
{
    return findItem(m_index, m_models, "m/", name);
}

const Service *Config::service(std::string_view name) const
{
    return findItem(m_index, m_services, "s/", name);
}

const Team *Config::team(std::string_view name) const
{
    return findItem(m_index, m_teams, "t/", name);
}

const Endpoint *Config::endpoint(std::string_view name) const
{
    return findItem(m_index, m_endpoints, "e/", name);
}

const Accelerator *Config::accelerator(std::string_view name) const
{
    return findItem(m_index, m_accelerators, "a/", name);
}

const Team *Config::teamByToken(std::string_view digest) const
{
    return findItem(m_index, m_teams, "k/", digest);
}

Duration Config::latency(std::string_view from, std::string_view to) const
{
    if (to < from)
        std::swap(from, to);
    std::string key = std::string(from) + "~" + std::string(to);
    const Link *link = findItem(m_index, m_links, "l/", key);
    if (link)
        return link->latency;
    return from == to ? Duration::zero() : DefaultLatency;
}

} // namespace balsamloft
