#include "core/prometheuswriter.h"

#include <doctest/doctest.h>

using namespace savorywick;

TEST_CASE("Counters and gauges have one TYPE line for each metric name")
{
    PrometheusWriter writer;
    writer.writeCounter("runs_ended_total", "how", "done", 12);
    writer.writeCounter("runs_ended_total", "how", "failed", 0);
    writer.writeGauge("workers", 66);
    CHECK(writer.takeText()
          == "# TYPE savorywick_runs_ended_total counter\n"
             "savorywick_runs_ended_total{how=\"done\"} 12\n"
             "savorywick_runs_ended_total{how=\"failed\"} 0\n"
             "# TYPE savorywick_workers gauge\n"
             "savorywick_workers 66\n");
    CHECK(writer.takeText().empty());
}

TEST_CASE("A histogram counts each latency in every bucket whose bound is not below it")
{
    LatencyHistogram latencies;
    for (const int ms : {0, 5, 6, 900, 60'000})
        latencies.record(Millis{ms});
    CHECK(latencies.cumulativeCount(0) == 2);
    CHECK(latencies.cumulativeCount(1) == 3);
    CHECK(latencies.cumulativeCount(LatencyHistogram::bucketBoundsMs.size() - 1) == 4);
    CHECK(latencies.count() == 5);

    PrometheusWriter writer;
    writer.writeHistogram("caller_answer_ms", latencies);
    const std::string text = writer.takeText();
    CHECK(text.starts_with("# TYPE savorywick_caller_answer_ms histogram\n"
                           "savorywick_caller_answer_ms_bucket{le=\"5\"} 2\n"
                           "savorywick_caller_answer_ms_bucket{le=\"10\"} 3\n"));
    CHECK(text.ends_with("savorywick_caller_answer_ms_bucket{le=\"+Inf\"} 5\n"
                         "savorywick_caller_answer_ms_sum 60911\n"
                         "savorywick_caller_answer_ms_count 5\n"));
}
