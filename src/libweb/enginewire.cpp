#include <balsamloft/enginewire.h>

#include <boost/json.hpp>

#include <algorithm>

namespace json = boost::json;

namespace balsamloft {

namespace {

json::value stepRefToJson(const StepRef &ref)
{
    return {{"attempt", ref.attempt},
            {"position", ref.position},
            {"layers", {ref.layers.begin, ref.layers.end}}};
}

StepRef stepRefFromJson(const json::object &object)
{
    StepRef ref;
    ref.attempt = object.at("attempt").to_number<std::uint32_t>();
    ref.position = object.at("position").to_number<std::uint32_t>();
    const json::array &layers = object.at("layers").as_array();
    ref.layers = {layers.at(0).to_number<std::uint32_t>(), layers.at(1).to_number<std::uint32_t>()};
    return ref;
}

std::string stringMember(const json::object &object, std::string_view key)
{
    return std::string(object.at(key).as_string());
}

/// Parses \a input as a JSON object and returns the result of \a parse on it. Returns nothing and
/// sets \a reason if \a input is not an object or \a parse throws.
template<typename Parse>
auto parseObject(std::string_view input, Reason &reason, Parse parse)
    -> std::optional<decltype(parse(std::declval<const json::object &>()))>
{
    try {
        json::error_code error;
        const json::value value = json::parse(input, error);
        if (error) {
            reason = "not valid JSON: " + error.message();
            return std::nullopt;
        }
        return parse(value.as_object());
    } catch (const std::exception &exception) {
        reason = exception.what();
        return std::nullopt;
    }
}

} // namespace

std::string toJson(const WireStep &step)
{
    return json::serialize(json::object {{"request", step.request},
                                         {"step", stepRefToJson(step.ref)},
                                         {"prefill", step.prefill},
                                         {"first", step.firstStage},
                                         {"last", step.lastStage},
                                         {"last_token", step.lastToken},
                                         {"priority", static_cast<int>(step.priority)},
                                         {"input", step.input}});
}

std::string toJson(const WireStepAnswer &wire)
{
    const StepAnswer &answer = wire.answer;
    return json::serialize(json::object {{"request", wire.request},
                                         {"step", stepRefToJson(answer.ref)},
                                         {"output", answer.output},
                                         {"end", answer.end},
                                         {"prefix_hit", answer.prefixHit},
                                         {"load",
                                          {{"running", answer.load.running},
                                           {"waiting", answer.load.waiting},
                                           {"step_us", answer.load.stepTime.count()},
                                           {"leaving", answer.load.leaving}}}});
}

std::optional<WireStep> wireStepFromJson(std::string_view input, Reason &reason)
{
    return parseObject(input, reason, [](const json::object &object) {
        WireStep step;
        step.request = stringMember(object, "request");
        step.ref = stepRefFromJson(object.at("step").as_object());
        step.prefill = object.at("prefill").as_bool();
        step.firstStage = object.at("first").as_bool();
        step.lastStage = object.at("last").as_bool();
        step.lastToken = object.at("last_token").as_bool();
        const int priority = object.at("priority").to_number<int>();
        step.priority = static_cast<Priority>(std::clamp(priority, 0, 2));
        step.input = stringMember(object, "input");
        return step;
    });
}

std::optional<WireStepAnswer> wireStepAnswerFromJson(std::string_view input, Reason &reason)
{
    return parseObject(input, reason, [](const json::object &object) {
        WireStepAnswer wire;
        wire.request = stringMember(object, "request");
        StepAnswer &answer = wire.answer;
        answer.ref = stepRefFromJson(object.at("step").as_object());
        answer.output = stringMember(object, "output");
        answer.end = object.at("end").as_bool();
        answer.prefixHit = object.at("prefix_hit").as_bool();
        const json::object &load = object.at("load").as_object();
        answer.load.running = load.at("running").to_number<std::uint32_t>();
        answer.load.waiting = load.at("waiting").to_number<std::uint32_t>();
        answer.load.stepTime = Duration(load.at("step_us").to_number<std::int64_t>());
        answer.load.leaving = load.at("leaving").as_bool();
        return wire;
    });
}

} // namespace balsamloft
