#include <doctest/doctest.h>

#include <fcntl.h>
#include <unistd.h>

#include <libnet/logwriter.h>
#include <pimentofold-edge/edgelog.h>
#include <pimentofold-edge/edgeoptions.h>

using namespace pimentofold;

// Guards against settings that are wrong and still taken, and against messages that don't name the field.
TEST_CASE("own settings: defaults, values, errors")
{
    CHECK(parseEdgeOptions(parseSettings("{} // defaults", "f")).metricsPort == 9464);
    CHECK(parseEdgeOptions(parseSettings(R"({"flowsPerSlot": 3, "waitLimitMs": 900})", "f")).dispatch.maxWaitTime == 900 * millisecond);
    const EdgeOptions shipped = parseEdgeOptions(readSettings(PIMENTOFOLD_SOURCE_DIR "/deploy/edge.json"));
    CHECK(shipped.dispatch.flowsPerSlot == DispatchSettings().flowsPerSlot);
    CHECK(shipped.share.silenceLimit == ShareSettings().silenceLimit);
    struct Row {
        std::string text;
        std::string field;
    };
    const Row rows[] = {
        {R"({"metricsPort": 70000})", "metricsPort"},
        {R"({"mostFlows": 0})", "mostFlows"},
        {R"({"flowsPerSlot": "two"})", "flowsPerSlot"},
        {R"({"beatIntervalMs": -1})", "beatIntervalMs"},
        {R"({"unknown": 1})", "unknown"},
    };
    for (const Row &row : rows) {
        try {
            parseEdgeOptions(parseSettings(row.text, "f"));
            FAIL("no error for " << row.text);
        } catch (const SettingsError &error) {
            CHECK(error.field == row.field);
        }
    }
}

// Guards against a process that waits for the reader of its log.
TEST_CASE("a reader that doesn't read costs lines, which are counted")
{
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    LogWriter writer(ends[1]);
    const std::string line(200, 'x');
    for (int n = 0; n < 10'000; ++n) {
        writer.add(line);
        writer.flush();
    }
    CHECK(writer.dropped() > 0);
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    char buf[65'536];
    for (int idle = 0; idle < 2;) {
        const ssize_t n = read(ends[0], buf, sizeof buf);
        idle = n > 0 ? 0 : idle + 1;
        if (n > 0) {
            text.append(buf, static_cast<std::size_t>(n));
        }
        writer.flush();
    }
    CHECK(text.find("event=log_lines_dropped lines=" + std::to_string(writer.dropped())) != std::string::npos);
    close(ends[0]);
    close(ends[1]);
}

// Guards against a flood that fills the log: 10,000 flows a second are logged within the budget and counted.
TEST_CASE("the log's budget bounds the lines of each event")
{
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    LogWriter writer(ends[1]);
    EventLog log{"n", {}};
    LogBudget budget;
    Metrics metrics;
    const TargetTable table;
    for (int n = 0; n < 20'000; ++n) {
        ForwardEventRecord note;
        note.event = ForwardEvent::Placed;
        recordNote(log, budget, metrics, table, note, second + n * (second / 10'000));
    }
    CHECK(metrics.counters.at("flow_placed_total") == 20'000);
    const auto logged = 20'000 - budget.held;
    CHECK(logged >= 400);
    CHECK(logged <= 400 + 2 * 200 + 1);
    close(ends[0]);
    close(ends[1]);
}
