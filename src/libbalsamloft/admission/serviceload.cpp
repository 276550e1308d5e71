#include <balsamloft/admission/serviceload.h>

#include <algorithm>

namespace balsamloft {

const ServiceLoad *LoadSummary::find(std::string_view service) const
{
    const auto it = std::find_if(services.begin(), services.end(),
                                 [&](const ServiceLoad &each) { return each.service == service; });
    return it == services.end() ? nullptr : &*it;
}

void LoadSummary::add(const LoadSummary &other)
{
    for (const ServiceLoad &added : other.services) {
        const auto it =
            std::find_if(services.begin(), services.end(),
                         [&](const ServiceLoad &each) { return each.service == added.service; });
        if (it == services.end()) {
            services.push_back(added);
            continue;
        }
        it->demand += added.demand;
        it->inFlight += added.inFlight;
        it->onTime += added.onTime;
        it->late += added.late;
        it->rejected += added.rejected;
    }
    instances += other.instances;
}

} // namespace balsamloft
