#include <doctest/doctest.h>

#include <fcntl.h>
#include <unistd.h>

#include <libnet/logwriter.h>
#include <pimentofold-edge/edgelog.h>
#include <pimentofold-edge/edgeoptions.h>

using namespace pimentofold;

// Guards against invalid settings that are accepted, and against error messages that don't name the field.
TEST_CASE("edge options: defaults, values, errors")
{
    CHECK(parseEdgeOptions(parseSettings("{} // defaults", "f")).metricsPort == 9464);
    CHECK(parseEdgeOptions(parseSettings(R"({"flowsPerSlot": 3, "waitLimitMs": 900})", "f")).dispatch.maxWaitTime == 900 * millisecond);
    CHECK_FALSE(EdgeOptions().forward.localDispatch);
    CHECK_FALSE(EdgeOptions().forward.earlyRoutes);
    CHECK(parseEdgeOptions(parseSettings(R"({"earlyRoutes": true})", "f")).forward.earlyRoutes);
    CHECK(parseEdgeOptions(parseSettings(R"({"localDispatch": true})", "f")).forward.localDispatch);
    const EdgeOptions shipped = parseEdgeOptions(readSettings(PIMENTOFOLD_SOURCE_DIR "/deploy/edge.json"));
    CHECK(shipped.dispatch.flowsPerSlot == DispatchSettings().flowsPerSlot);
    CHECK(shipped.forward.localDispatch);
    CHECK(shipped.fairQueueing);
    CHECK_FALSE(EdgeOptions().fairQueueing);
    CHECK(shipped.replication.heartbeatTimeout == ReplicationSettings().heartbeatTimeout);
    CHECK_FALSE(parseEdgeOptions(parseSettings("{}", "f")).targetLoss.enabled);
    CHECK(shipped.targetLoss.enabled);
    CHECK_FALSE(parseEdgeOptions(parseSettings("{}", "f")).outliers.enabled);
    CHECK(shipped.outliers.enabled);
    struct Row {
        std::string text;
        std::string field;
    };
    const Row rows[] = {
        {R"({"metricsPort": 70000})", "metricsPort"},
        {R"({"mostFlows": 0})", "mostFlows"},
        {R"({"flowsPerSlot": "two"})", "flowsPerSlot"},
        {R"({"beatIntervalMs": -1})", "beatIntervalMs"},
        {R"({"targetLoss": 1})", "targetLoss"},
        {R"({"localDispatch": 1})", "localDispatch"},
        {R"({"earlyRoutes": 1})", "earlyRoutes"},
        {R"({"outlierDetection": 1})", "outlierDetection"},
        {R"({"fairQueueing": 1})", "fairQueueing"},
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

// Guards against a process that blocks until the reader of its log has read.
TEST_CASE("log lines are dropped and counted while the reader doesn't read")
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

// Guards against ejections that the log and the metrics don't show.
TEST_CASE("outlier detection in the log and the metrics")
{
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    LogWriter writer(ends[1]);
    EventLog log{"n", {}};
    LogBudget budget;
    TargetTable table;
    TargetRecord record;
    record.id = 1;
    record.name = "shop-1";
    applyTarget(table, record, 0);
    OutlierEvent event{true, false, 1, "shop", EjectionReason::Slow, 6, 0.25, 9};
    recordOutlierEvent(log, budget, table, event, second);
    event.ejected = false;
    recordOutlierEvent(log, budget, table, event, second);
    writer.flush();
    std::string text(4096, '\0');
    text.resize(static_cast<std::size_t>(std::max<ssize_t>(read(ends[0], text.data(), text.size()), 0)));
    CHECK(text.find("event=target_ejected target=shop-1 service=shop") != std::string::npos);
    CHECK(text.find("event=target_returned target=shop-1 service=shop") != std::string::npos);
    CHECK(text.find("reason=slow") != std::string::npos);
    CHECK(text.find("cause=room") != std::string::npos);
    OutlierDetection outliers;
    outliers.ejectedCount = 2;
    outliers.ejections = {3, 4};
    Metrics metrics;
    exportOutlierMetrics(metrics, outliers);
    CHECK(metrics.gauges.at("targets_ejected") == 2);
    CHECK(metrics.counters.at("targets_ejected_total{reason=\"unanswered\"}") == 3);
    CHECK(metrics.counters.at("targets_ejected_total{reason=\"slow\"}") == 4);
    close(ends[0]);
    close(ends[1]);
}

// Guards against a flood of flows that fills the log: of 10,000 flows per second all are counted, and the budget limits the lines.
TEST_CASE("the log budget limits the lines of each event")
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
        recordForwardNote(log, budget, metrics, table, note, second + n * (second / 10'000));
    }
    CHECK(metrics.counters.at("flow_placed_total") == 20'000);
    const auto logged = 20'000 - budget.held;
    CHECK(logged >= 400);
    CHECK(logged <= 400 + 2 * 200 + 1);
    close(ends[0]);
    close(ends[1]);
}
