#include <testsupport/lossmodel.h>

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <utility>

#include <testsupport/lossworld.h>

namespace pimentofold::testsupport {

namespace {

constexpr std::array<std::string_view, 5> propertyNames{
    "living_target_keeps_flows", "unsafe_request_keeps_flow", "silent_target_is_lost", "one_verdict", "no_earlier_verdict"};

void recordViolation(LossModelResult &result, LossProperty property, const LossWorld &world)
{
    const auto known = std::ranges::find(result.violations, property, &LossViolation::property);
    if (known == result.violations.end()) {
        result.violations.push_back({property, world.deviations, world.trace});
    } else if (world.deviations < known->deviations) {
        *known = {property, world.deviations, world.trace};
    }
}

/// Explores a run up to its end, and stores a state for each deviation that the run could have taken at one of its events. Runs that
/// may not deviate further are explored at once, so that their states needn't be stored.
class Search
{
public:
    explicit Search(const LossModelOptions &options)
        : m_options(options)
    {
    }

    LossModelResult run()
    {
        m_open.push_back(makeLossWorld(m_options));
        while (!m_open.empty() && m_result.complete) {
            LossWorld world = std::move(m_open.front());
            m_open.pop_front();
            play(world);
        }
        m_result.states = m_known.size();
        return std::move(m_result);
    }

private:
    bool handle(LossWorld &world, const LossDeviation &deviation)
    {
        ++m_result.transitions;
        m_result.complete = m_result.transitions < m_options.maxTransitions;
        const LossStep step = handleNextEvent(world, m_options, deviation);
        m_result.verdicts += step.verdicts;
        m_result.resets += step.resets;
        for (const LossProperty it : step.violations) {
            recordViolation(m_result, it, world);
        }
        return step.violations.empty() && m_result.complete;
    }

    void play(LossWorld &world)
    {
        while (!world.events.empty() && world.events.front().at <= m_options.duration) {
            const bool isTick = world.events.front().kind == LossEventKind::Tick;
            if (isTick && !isNew(world)) {
                return;
            }
            if (world.deviations < m_options.maxDeviations && world.events.front().at <= m_options.deviationTime) {
                branch(world);
            }
            if (!handle(world, {})) {
                return;
            }
        }
        ++m_result.runs;
        if (world.silent && world.verdicts == 0) {
            recordViolation(m_result, LossProperty::SilentTargetIsLost, world);
        }
    }

    /// @return false when a run with as few deviations has reached the same state, so that everything that may follow is explored already
    bool isNew(const LossWorld &world)
    {
        const auto [known, added] = m_known.try_emplace(fingerprint(world), world.deviations);
        if (!added && known->second <= world.deviations) {
            return false;
        }
        known->second = world.deviations;
        return true;
    }

    void branch(const LossWorld &world)
    {
        for (const LossDeviation &it : possibleDeviations(world, m_options)) {
            LossWorld other = world;
            if (!handle(other, it)) {
                continue;
            }
            if (other.deviations < m_options.maxDeviations) {
                m_open.push_back(std::move(other));
            } else {
                play(other);
            }
        }
    }

    LossModelOptions m_options;
    LossModelResult m_result;
    std::deque<LossWorld> m_open; ///< by the number of deviations
    std::unordered_map<std::uint64_t, int> m_known; ///< fewest deviations by fingerprint
};

} // namespace

std::string_view name(LossProperty property)
{
    return propertyNames.at(static_cast<std::size_t>(property));
}

LossModelResult checkLossModel(const LossModelOptions &options)
{
    return Search(options).run();
}

} // namespace pimentofold::testsupport
