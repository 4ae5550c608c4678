// Tests of the simulator adapter: which actions short batches of events give.
#include "simulator_adapter/simulator_adapter.hpp"

#include <gtest/gtest.h>

namespace {

using cressledge::simulator_adapter::MalformedBatch;
using cressledge::simulator_adapter::SimulatorAdapter;

// Settings with a dependency, a load advertisement and preemption; `extra` is added to the domain.
std::string born_message(const std::string& who, const std::string& extra = "") {
    return R"({"born":{"who":")" + who +
           R"(","salt":7,"info":{"accounts":[{"name":"t","share":1,"allowance-per-s":50}],)"
           R"("classes":[{"name":"read","effect":"free","importance":1,"target":1000,"deadline":3000},)"
           R"({"name":"buy","effect":"guarded","importance":5,"target":1000,"deadline":3000,"repeat-window":9000}],)"
           R"("contract":{"fall-multiple":6,"fall":1500,"drain-grace":2000},"new-part":{"x":[1,2]},)"
           R"("domain":{"cores":2,"memory-kb":90000,"blowup":4,"kb-per-key":1,"advert":"floor","halt":"discard",)"
           R"("depends-on":"one_for_all","calls-out":5,"class-calls":[true,true],"class-skip-worth":[0.5,0])" +
           extra + R"(},"policy-limits":{"retry-after":true,"max-retry-after":1000},"replicas-of-me":4}}})";
}
std::string batch(double time, const std::string& messages) {
    return R"({"time":)" + std::to_string(time) + R"(,"msgs":[)" + messages + "]}";
}
std::string inbound(const std::string& who, int id, const std::string& type, const std::string& more = "") {
    return R"({"inbound":{"who":")" + who + R"(","txn":)" + std::to_string(id) + R"(,"type":")" + type +
           R"(","by":3,"lay":1,"held-kb":10)" + more + "}}";
}
bool contains(const std::string& text, const std::string& substring) {
    return text.find(substring) != std::string::npos;
}

TEST(SimulatorAdapterTest, EmptyBatchGetsEmptyReply) {
    SimulatorAdapter adapter;
    EXPECT_EQ(adapter.handle_batch(R"({"time":8412.25,"msgs":[]})"), R"({"actions":[]})");
}

TEST(SimulatorAdapterTest, BornSetsHealthAndTimer) {
    SimulatorAdapter adapter;
    const std::string reply = adapter.handle_batch(batch(10, born_message("backend-1")));
    EXPECT_TRUE(contains(reply, R"("health":{"who":"backend-1","active":true,"cheap":true})")) << reply;
    EXPECT_TRUE(contains(reply, R"("sleep":{"who":"backend-1","offset":)")) << reply;
}

TEST(SimulatorAdapterTest, IdleLimitIsSentWithTheSettingAndTheGauges) {
    SimulatorAdapter adapter;
    adapter.handle_batch(batch(10, born_message("b", R"(,"idle":30000.0,"clients-total":900)")));
    std::string all;
    for (int i = 1; i <= 40; ++i)
        all += adapter.handle_batch(batch(10 + 125 * i,
                                          R"({"wake":{"who":"b","label":"1","usage":{"cpu_busy":0.2,)"
                                          R"("runnable":0,"mem_used":0.1,"sockets":90}}})"));
    EXPECT_TRUE(contains(all, R"("idle-limit":{"who":"b","span":)")) << all;
}

TEST(SimulatorAdapterTest, NullAbsentAndUnknownFieldsAreIgnored) {
    SimulatorAdapter adapter;
    adapter.handle_batch(batch(10, born_message("b", R"(,"brand-new":true,"fresh":null)")));
    const std::string reply = adapter.handle_batch(batch(
        20, inbound("b", 5, "read", R"(,"account":null,"repeats":null,"client-deadline":null,"novel":[1])")));
    EXPECT_TRUE(contains(reply, R"({"take":{"who":"b","txn":5}})")) << reply;
}

TEST(SimulatorAdapterTest, ReadsEveryEvent) {
    SimulatorAdapter adapter;
    adapter.handle_batch(batch(10, born_message("b")));
    adapter.handle_batch(batch(20, inbound("b", 1, "buy") + "," + inbound("b", 2, "read")));
    std::string reply = adapter.handle_batch(batch(30, R"({"needs-dep":{"who":"b","txn":1}})"));
    EXPECT_TRUE(contains(reply, R"("invoke":{"who":"b","txn":1,"patience":)")) << reply;
    reply = adapter.handle_batch(
        batch(40, R"({"downstream":{"who":"b","txn":1,"code":"dropped","wait-time":5}})"));
    EXPECT_TRUE(contains(reply, R"({"respond-error":{"who":"b","txn":1}})"))
        << reply;  // the call may have run: it is neither retried nor skipped
    reply = adapter.handle_batch(batch(50, R"({"expired":{"who":"b","txn":2}})"));
    EXPECT_TRUE(contains(reply, R"({"take-off":{"who":"b","txn":2}})")) << reply;
    reply = adapter.handle_batch(
        batch(60, R"({"finished":{"who":"b","txn":2,"wait-time":40,"code":"revoked"}})"));
    EXPECT_EQ(reply, R"({"actions":[]})");
    reply = adapter.handle_batch(batch(70, inbound("b", 3, "buy", R"(,"repeats":1)")));
    EXPECT_TRUE(contains(reply, R"({"replay":{"who":"b","txn":3}})")) << reply;
    reply = adapter.handle_batch(batch(80, R"({"terminate-soon":{"who":"b","client-deadline":5000}})"));
    EXPECT_TRUE(contains(reply, R"("health":{"who":"b","active":false,"cheap":true})")) << reply;
    EXPECT_TRUE(contains(reply, R"("hint-out":{"who":"b","x":1.0})")) << reply;
    reply = adapter.handle_batch(
        batch(90, R"({"wake":{"who":"b","label":"1","usage":{"cpu_busy":0.4,"odd_gauge":7}}})"));
    EXPECT_TRUE(contains(reply, R"("sleep":)")) << reply;
    EXPECT_EQ(adapter.handle_batch(batch(99, R"({"detach":{"who":"b"}})")), R"({"actions":[]})");
    EXPECT_EQ(adapter.handle_batch(batch(99.5, R"({"finished":{"who":"b","txn":1,"code":"revoked"}})")),
              R"({"actions":[]})");
}

TEST(SimulatorAdapterTest, WritesFallBackWhereSkippingEarns) {
    SimulatorAdapter adapter;
    adapter.handle_batch(batch(10, born_message("b")));
    adapter.handle_batch(batch(20, inbound("b", 1, "read")));
    adapter.handle_batch(batch(30, R"({"needs-dep":{"who":"b","txn":1}})"));
    adapter.handle_batch(batch(1100, R"({"wake":{"who":"b","label":"2","usage":{}}})"));
    SimulatorAdapter late_adapter;
    late_adapter.handle_batch(batch(10, born_message("b")));
    late_adapter.handle_batch(batch(20, inbound("b", 1, "read")));
    const std::string reply = late_adapter.handle_batch(batch(900, R"({"needs-dep":{"who":"b","txn":1}})"));
    EXPECT_TRUE(contains(reply, R"({"fall-back":{"who":"b","txn":1}})")) << reply;
}

TEST(SimulatorAdapterTest, WritesStoreKeyForAGuardedClass) {
    SimulatorAdapter adapter;
    adapter.handle_batch(batch(10, born_message("b")));
    const std::string reply = adapter.handle_batch(batch(20, inbound("b", 1, "buy")));
    EXPECT_TRUE(contains(reply, R"("store-key":{"who":"b","txn":1,"span":)")) << reply;
}

TEST(SimulatorAdapterTest, UnknownClassIsRejected) {
    SimulatorAdapter adapter;
    adapter.handle_batch(batch(10, born_message("b")));
    const std::string reply = adapter.handle_batch(batch(20, inbound("b", 1, "never-heard-of")));
    EXPECT_TRUE(contains(reply, R"("turn-away":{"who":"b","txn":1,"retry-in":0.0,"dont-retry":false})"))
        << reply;
}

TEST(SimulatorAdapterTest, InstancesShareNothing) {
    SimulatorAdapter together, alone;
    together.handle_batch(batch(10, born_message("a") + "," + born_message("b")));
    alone.handle_batch(batch(10, born_message("b")));
    together.handle_batch(batch(20, inbound("a", 1, "read") + "," + inbound("a", 2, "read")));
    EXPECT_EQ(together.handle_batch(batch(30, inbound("b", 3, "read"))),
              alone.handle_batch(batch(30, inbound("b", 3, "read"))));
}

TEST(SimulatorAdapterTest, UnknownEventIsIgnored) {
    SimulatorAdapter adapter;
    adapter.handle_batch(batch(10, born_message("b")));
    EXPECT_EQ(adapter.handle_batch(batch(20, R"({"novelty":{"who":"b","txn":1}})")), R"({"actions":[]})");
}

TEST(SimulatorAdapterTest, MalformedLinesThrow) {
    SimulatorAdapter adapter;
    EXPECT_THROW(adapter.handle_batch("not json"), MalformedBatch);
    EXPECT_THROW(adapter.handle_batch("[]"), MalformedBatch);
    EXPECT_THROW(adapter.handle_batch(R"({"time":1})"), MalformedBatch);
    EXPECT_THROW(adapter.handle_batch(R"({"msgs":[]})"), MalformedBatch);
    EXPECT_THROW(adapter.handle_batch(R"({"time":1,"msgs":[{"born":{"who":"b"}}]})"), MalformedBatch);
    EXPECT_THROW(
        adapter.handle_batch(R"({"time":1,"msgs":[{"born":{"who":"b","info":{"domain":{"cores":2}}}}]})"),
        MalformedBatch);
    adapter.handle_batch(batch(10, born_message("b")));
    EXPECT_THROW(adapter.handle_batch(batch(20, R"({"inbound":{"who":"b","type":"read"}})")), MalformedBatch);
}

}  // namespace
