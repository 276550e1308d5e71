#include <balsamloft/durationsummary.h>

#include <array>
#include <cstdio>

namespace accumulators = boost::accumulators;

namespace balsamloft {

namespace {

constexpr std::array<double, 4> Quantiles {0.5, 0.9, 0.95, 0.99};
constexpr double MicrosPerSecond = 1e6;

} // namespace

DurationSummary::DurationSummary()
    : m_set(accumulators::extended_p_square_probabilities = Quantiles)
{
}

void DurationSummary::add(Duration duration)
{
    m_set(static_cast<double>(duration.count()) / MicrosPerSecond);
}

void DurationSummary::render(std::string_view name, std::string_view labels,
                             std::string &text) const
{
    const std::string base(name);
    const std::string comma = labels.empty() ? "" : ",";
    const auto count = accumulators::count(m_set);
    for (const double quantile : Quantiles) {
        if (count == 0)
            break;
        char label[32];
        std::snprintf(label, sizeof label, "quantile=\"%g\"", quantile);
        const double value =
            accumulators::quantile(m_set, accumulators::quantile_probability = quantile);
        renderSample(base, std::string(labels) + comma + label, value, text);
    }
    renderSample(base + "_count", labels, static_cast<double>(count), text);
    renderSample(base + "_sum", labels, accumulators::sum(m_set), text);
}

void renderSample(std::string_view name, std::string_view labels, double value, std::string &text)
{
    char number[40];
    std::snprintf(number, sizeof number, "%.10g", value);
    text.append(name);
    if (!labels.empty())
        text.append("{").append(labels).append("}");
    text.append(" ").append(number).append("\n");
}

} // namespace balsamloft
