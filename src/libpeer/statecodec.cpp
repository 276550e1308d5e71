#include "statecodec.h"

#include <algorithm>
#include <array>

namespace balsamloft {

namespace {

/// Work and rates above this are treated as damaged.
constexpr double MaxValue = 1e15;
constexpr std::uint32_t MaxInstances = 1'000'000;
constexpr std::uint64_t MaxLoadAgeMs = 3'600'000;

void encodeLoad(const AgedLoadSummary &load, const std::string &domain, wire::LoadNews &message)
{
    for (const ServiceLoad &each : load.report.services) {
        if (each.demand <= 0 && each.inFlight <= 0)
            continue;
        wire::ServiceLoad &service = *message.add_services();
        service.set_service(each.service);
        service.set_demand(static_cast<float>(each.demand));
        service.set_in_flight(static_cast<float>(each.inFlight));
        service.set_on_time(static_cast<float>(each.onTime));
        service.set_late(static_cast<float>(each.late));
        service.set_rejected(static_cast<float>(each.rejected));
    }
    message.set_instances(load.report.instances);
    message.set_age_ms(
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, load.age.count() / 1000)));
    message.set_domain(domain);
}

bool isReasonable(const ServiceLoad &load)
{
    const std::array values {load.demand, load.inFlight, load.onTime, load.late, load.rejected};
    // False for NaN as well.
    return !load.service.empty() && std::all_of(values.begin(), values.end(), [](double each) {
        return each >= 0 && each <= MaxValue;
    });
}

/// Returns nothing if the sum as a whole is unusable; leaves out single services that are.
std::optional<AgedLoadSummary> decodeLoad(const wire::LoadNews &message)
{
    if (message.instances() == 0 || message.instances() > MaxInstances
        || message.age_ms() > MaxLoadAgeMs)
        return std::nullopt;
    AgedLoadSummary load;
    load.age = Duration(static_cast<std::int64_t>(message.age_ms()) * 1000);
    load.report.instances = message.instances();
    for (const wire::ServiceLoad &each : message.services()) {
        ServiceLoad service {each.service(), each.demand(), each.in_flight(),
                             each.on_time(), each.late(),   each.rejected()};
        if (isReasonable(service) && !load.report.find(service.service))
            load.report.services.push_back(std::move(service));
    }
    return load;
}

} // namespace

void encodeState(const InstanceState &state, wire::InstanceState &message)
{
    message.set_name(state.name);
    message.set_era(state.era);
    message.set_configuration(state.configuration);
    if (state.eraAge)
        message.set_era_age_ms(static_cast<std::uint64_t>(state.eraAge->count() / 1000));
    if (state.eraKnownFor)
        message.set_era_known_ms(static_cast<std::uint64_t>(state.eraKnownFor->count() / 1000));
    if (state.load)
        encodeLoad(*state.load, state.loadDomain, *message.mutable_load());
}

InstanceState decodeState(const wire::InstanceState &message)
{
    // More would not fit a Duration, and is as good as no age.
    constexpr std::uint64_t MaxAgeMs = 1'000'000'000;
    InstanceState state;
    state.name = message.name();
    state.era = message.era();
    state.configuration = message.configuration();
    if (message.has_era_age_ms() && message.era_age_ms() <= MaxAgeMs)
        state.eraAge = Duration(static_cast<std::int64_t>(message.era_age_ms()) * 1000);
    if (message.has_era_known_ms())
        state.eraKnownFor =
            Duration(static_cast<std::int64_t>(std::min(message.era_known_ms(), MaxAgeMs)) * 1000);
    if (message.has_load()) {
        state.load = decodeLoad(message.load());
        if (state.load)
            state.loadDomain = message.load().domain();
    }
    return state;
}

std::string encodeQuery(std::uint64_t era, const InstanceState &sender)
{
    wire::TableQuery query;
    query.set_era(era);
    encodeState(sender, *query.mutable_sender());
    return query.SerializeAsString();
}

std::optional<QueryDetails> decodeQuery(std::string_view bytes)
{
    wire::TableQuery query;
    if (!query.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return std::nullopt;
    return QueryDetails {query.era(), decodeState(query.sender())};
}

} // namespace balsamloft
