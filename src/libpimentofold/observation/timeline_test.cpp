#include <pimentofold/timeline.h>

#include <doctest/doctest.h>

#include <pimentofold/eventlog.h>

using namespace pimentofold;

namespace {

std::size_t occurrences(const std::string &text, const std::string &part)
{
    std::size_t n = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++n;
    }
    return n;
}

} // namespace

// Guards against values that change when an event line is written and parsed, for example because of quotes or line ends.
TEST_CASE("event lines are read back as written")
{
    for (const char *value : {"plain", "", "two words", "a\"b\\c", "x=y", "line\nend\r", "\\n", "<b>&amp;</b>"}) {
        CAPTURE(value);
        const auto event = parseEventLine(eventLine("dc1-e01", 5, 7, "view applied", {{"key", value}, {"n", 3}}));
        REQUIRE(event);
        CHECK(event->time == 5);
        CHECK(event->hlc == 7);
        CHECK(event->node == "dc1-e01");
        CHECK(event->event == "view applied");
        REQUIRE(event->fields.size() == 2);
        CHECK(event->fields[0].second == value);
        CHECK(event->fields[1] == std::pair<std::string, std::string>("n", "3"));
    }
}

// Guards against truncated or interleaved lines that are parsed as events, and against empty lines that count as malformed.
TEST_CASE("broken lines are counted")
{
    const char *const broken[] = {
        "time=1 hlc=2 node=a",
        "hlc=2 time=1 node=a event=b",
        "time=x hlc=2 node=a event=b",
        "time=1 hlc=-2 node=a event=b",
        "time=1 hlc=99999999999999999999 node=a event=b",
        "time=1 hlc=2 node=a event=b key",
        "time=1 hlc=2 node=a event=b key=",
        "time=1 hlc=2 node=a event=b key=\"open",
        "time=1 hlc=2 node=a event=b key=\"open\\",
        "time=1 hlc=2 node=a event=b key=\"a\"b",
        "time=1 hlc=2 node=a event=b time=1 hl\"c=2",
        "Segmentation fault",
    };
    Timeline timeline;
    for (const char *it : broken) {
        CAPTURE(it);
        CHECK_FALSE(parseEventLine(it));
        addLine(timeline, it);
    }
    addLine(timeline, "");
    addLine(timeline, " \r");
    addLine(timeline, "time=1 hlc=2 node=a event=b\r");
    CHECK(timeline.brokenLines == std::size(broken));
    CHECK(timeline.events.size() == 1);
}

// Guards against sorting by wall time, which gives a wrong order when the clocks of processes differ.
TEST_CASE("events are ordered by their hybrid logical clock")
{
    Timeline timeline;
    addLine(timeline, eventLine("b", 900, 3 << 16, "received", {}));
    addLine(timeline, eventLine("a", 1000, 2 << 16, "sent", {{"to", "b c"}}));
    addLine(timeline, eventLine("b", 900, 3 << 16, "answered", {}));
    addLine(timeline, eventLine("a", 1000, 3 << 16, "other", {}));
    sortEvents(timeline);
    std::string order;
    for (const TimelineEvent &it : timeline.events) {
        order += it.event + " ";
    }
    CHECK(order == "sent other received answered ");
    CHECK(timelineText(timeline).starts_with("     0.000 a sent to=\"b c\"\n     0.001 a other\n"));
    CHECK(processNames(timeline) == std::vector<std::string>{"a", "b"});
}

// Guards against pages that omit events, load external resources, or execute scripts contained in log lines.
TEST_CASE("the page has every event and escapes all markup in log lines")
{
    Timeline timeline;
    constexpr int events = 3000;
    constexpr int processes = 40;
    for (int i = 0; i < events; ++i) {
        addLine(timeline, eventLine("dc1-e" + std::to_string(i % processes), i, static_cast<HlcTime>(i) << 16, "probe", {{"i", i}}));
    }
    addLine(timeline, eventLine("<script>node</script>", 9000, 9000LL << 16, "\"><script>x</script>", {{"a'<", "</title><script>&\x01"}}));
    sortEvents(timeline);
    const std::string page = timelinePage(timeline);
    CHECK(occurrences(page, "<circle") == events + 1);
    CHECK(occurrences(page, "rotate(") == processes + 1);
    CHECK(occurrences(page, "<script") == 0);
    CHECK(occurrences(page, "<svg") == occurrences(page, "</svg>"));
    CHECK(page.find("&lt;script&gt;node") != std::string::npos);
    CHECK(page.find("a&#39;&lt;=&lt;/title&gt;&lt;script&gt;&amp;?") != std::string::npos);
    for (const char *it : {"http:", "https:", "src=", "href=", "url(", "@import", "\x01"}) {
        CAPTURE(it);
        CHECK(page.find(it) == std::string::npos);
    }
    CHECK_NOTHROW(timelinePage({}));
}
