#include "statecodec.h"

namespace balsamloft {

void encodeState(const InstanceState &state, wire::InstanceState &message)
{
    message.set_name(state.name);
    message.set_era(state.era);
    message.set_configuration(state.configuration);
    if (state.eraAge)
        message.set_era_age_ms(static_cast<std::uint64_t>(state.eraAge->count() / 1000));
}

InstanceState decodeState(const wire::InstanceState &message)
{
    // More would not fit a Duration, and is as good as no age.
    constexpr std::uint64_t MaxAgeMs = 1'000'000'000;
    InstanceState state {message.name(), message.era(), message.configuration(), std::nullopt};
    if (message.has_era_age_ms() && message.era_age_ms() <= MaxAgeMs)
        state.eraAge = Duration(static_cast<std::int64_t>(message.era_age_ms()) * 1000);
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
