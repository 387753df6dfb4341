// Tests of the store's records of streams, which outlast all gateways.
#include "coordination/streams/stream_recorder.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "protocol/stream_row_codec.h"
#include "tests/gateway/gateway_rig.h"
#include "tests/gateway/quiet_log.h"
#include "text.h"

namespace acaciachute {
namespace {

StreamOrigin Origin(const std::string& attempt,
                    const std::string& version = "v1") {
  return {attempt, "acme", "engine", version, 0};
}

// The rows of all gateways.
struct Table {
  using Key = std::pair<NodeId, std::uint32_t>;
  std::map<Key, StreamRow> rows;
  bool serves = true;
};

// One life of a gateway. Answers of the store come at once.
struct Writer : StreamRecorderOutput {
  Writer(Table* table_in, const NodeId& node)
      : table(table_in), it(MakeIt(node)) {}

  StreamRecorder MakeIt(const NodeId& node) {
    return {node, this, [this] { return several; }, &metrics, &log};
  }
  void WriteStreamRows(const std::vector<StreamRow>& rows) override {
    ++writes;
    most_rows = std::max(most_rows, rows.size());
    for (const StreamRow& row : rows) {
      most_streams = std::max(most_streams, row.streams.size());
      if (table->serves) {
        table->rows[{row.node, row.slot}] = row;
      }
    }
    it.OnWritten(now, table->serves);
  }
  void ReadStreamRows(const std::string& after) override {
    ++reads;
    if (!table->serves) {
      it.OnRead(now, std::nullopt);
      return;
    }
    StreamRowsPage page;
    for (const auto& [key, row] : table->rows) {
      if (StreamRowKey(row) > after && page.rows.size() < page_rows) {
        page.rows.push_back(row);
        page.last_key = StreamRowKey(row);
      }
    }
    page.bytes = page_bytes;
    page.truncated = page.last_key != "" && page.rows.size() == page_rows;
    for (const StreamOrigin& origin : it.OnRead(now, page)) {
      found.insert(origin.attempt);
    }
  }
  void Pass(DurationUs time) {
    for (const TimeUs end = now + time; now < end;) {
      now += 10 * kMillisecond;
      it.OnTick(now, gateways);
    }
  }

  Table* const table;
  TimeUs now = 1000 * kSecond;
  std::size_t gateways = 5;
  bool several = true;
  std::size_t page_rows = 500;
  std::size_t page_bytes = 0;
  int writes = 0;
  int reads = 0;
  std::size_t most_rows = 0;
  std::size_t most_streams = 0;
  std::set<std::string> found;
  Metrics metrics;
  QuietLog log;
  StreamRecorder it;
};

// Guards against streams that nobody remembers after a kill of all gateways,
// and against a gateway that overwrites the records of its former life before
// the others have read them.
TEST(StreamRecorderTest, RowsOutlastAllGateways) {
  Table table;
  for (int life = 0; life < 4; ++life) {
    Writer writer(&table, "g1");
    for (int n = 0; n < 20; ++n) {
      writer.it.OnBegun(writer.now, Origin("a" + std::to_string(life) + "-" +
                                           std::to_string(n)));
      writer.Pass(30 * kMillisecond);
    }
    writer.Pass(kSecond);
    Writer other(&table, "g2");
    EXPECT_EQ(other.it.Ask(other.now, other.now), StreamRowsState::kAwaited);
    EXPECT_EQ(other.it.Ask(other.now, other.now), StreamRowsState::kRead);
    EXPECT_EQ(other.found.size(), 20U * static_cast<std::size_t>(life + 1));
    for (auto& [key, row] : table.rows) {
      for (StreamOrigin& it : row.streams) {
        it.age += 3 * kSecond;  // Until the next life.
      }
    }
  }
}

// Guards against calls to the store where each service has one version, or
// where nothing begins.
TEST(StreamRecorderTest, WritesNothingThatIsOfNoUse) {
  Table table;
  Writer writer(&table, "g1");
  writer.several = false;
  writer.it.OnBegun(writer.now, Origin("a"));
  writer.Pass(2 * kSecond);
  EXPECT_EQ(writer.writes + writer.reads, 0);
  // A second version comes: what began before is recorded too.
  writer.several = true;
  writer.Pass(kSecond);
  EXPECT_EQ(writer.writes, 1);
  EXPECT_EQ(writer.reads, 1);
  EXPECT_EQ(table.rows.size(), 1U);
  writer.Pass(10 * kSecond);
  EXPECT_EQ(writer.writes, 1);
}

// Guards against streams in progress that wait behind those of a minute, most
// of which have ended, when a second version comes and all gateways end soon.
TEST(StreamRecorderTest, WritesTheNewestFirst) {
  Table table;
  Writer writer(&table, "g1");
  writer.several = false;
  constexpr int kStreams = 200;
  for (int n = 0; n < kStreams; ++n) {
    writer.it.OnBegun(writer.now, Origin(StrCat("a", n)));
    writer.Pass(10 * kMillisecond);
  }
  writer.several = true;
  writer.Pass(StreamRecorder::kMinWriteInterval);
  writer.it.OnBegun(writer.now, Origin("newest"));
  writer.Pass(StreamRecorder::kMinWriteInterval);
  Writer reader(&table, "g2");
  reader.it.Ask(reader.now, reader.now);
  EXPECT_TRUE(reader.found.contains("newest"));
  EXPECT_TRUE(reader.found.contains(StrCat("a", kStreams - 1)));
  writer.Pass(5 * kSecond);
  Writer later(&table, "g2");
  later.it.Ask(later.now, later.now);
  EXPECT_EQ(later.found.size(), kStreams + 1U);
}

// Guards against a rate of writes, or rows, that grow with the streams or with
// the gateways.
TEST(StreamRecorderTest, KeepsToItsBounds) {
  Table table;
  Writer writer(&table, "g1");
  writer.gateways = 400;
  for (int n = 0; n < 4000; ++n) {
    writer.it.OnBegun(writer.now, Origin("a" + std::to_string(n)));
    writer.Pass(10 * kMillisecond);
  }
  // 40 s, and 50 writes a second of all 400.
  EXPECT_LE(writer.writes, 6);
  EXPECT_LE(table.rows.size(), StreamRecorder::kRows);
  EXPECT_LE(writer.most_rows, StreamRecorder::kRows);
  EXPECT_LE(writer.most_streams, StreamRecorder::kRowStreams);
  // The rows hold the streams that were written last.
  Writer reader(&table, "g2");
  reader.it.Ask(reader.now, reader.now);
  EXPECT_GT(reader.found.size(),
            (StreamRecorder::kRows - 1) * StreamRecorder::kRowStreams);
}

// Guards against streams that are forgotten because the store was away when
// they began, and against a log that grows with the outage.
TEST(StreamRecorderTest, WritesLaterWhatAnOutageKept) {
  Table table;
  Writer writer(&table, "g1");
  writer.it.OnBegun(writer.now, Origin("a"));
  writer.Pass(kSecond);
  table.serves = false;
  const int before = writer.writes;
  for (int n = 0; n < 10; ++n) {
    writer.it.OnBegun(writer.now, Origin("b" + std::to_string(n)));
    writer.Pass(kSecond);
  }
  EXPECT_LE(writer.writes - before, 40);
  EXPECT_EQ(writer.it.Ask(writer.now, writer.now), StreamRowsState::kAwaited);
  EXPECT_EQ(writer.it.Ask(writer.now, writer.now), StreamRowsState::kNotKnown);
  table.serves = true;
  writer.Pass(kSecond);
  Writer reader(&table, "g2");
  reader.it.Ask(reader.now, reader.now);
  EXPECT_EQ(reader.found.size(), 11U);
}

// Guards against readings that take the link of a host: after a large table
// the next one waits, and streams that nobody knows are refused meanwhile.
TEST(StreamRecorderTest, ReadsALargeTableSeldom) {
  Table table;
  for (std::uint32_t n = 0; n < 30; ++n) {
    StreamRow row = {"g" + std::to_string(n), 0, {Origin("a")}};
    table.rows[{row.node, 0}] = row;
  }
  Writer reader(&table, "x");
  reader.page_rows = 10;
  reader.page_bytes = 100'000;
  reader.it.Ask(reader.now, reader.now);
  EXPECT_EQ(reader.reads, 4);  // The last page is empty.
  reader.now += 5 * kSecond;
  EXPECT_EQ(reader.it.Ask(reader.now, reader.now), StreamRowsState::kNotKnown);
  reader.now += 60 * kSecond;
  EXPECT_EQ(reader.it.Ask(reader.now, reader.now), StreamRowsState::kAwaited);
  EXPECT_EQ(reader.reads, 8);
}

// Guards against a row that is read as another gateway's or as another time.
TEST(StreamRowCodecTest, ReadsWhatItWrote) {
  StreamRow row = {"front/1", 7, {Origin("a", "v1"), Origin("b", "v2")}};
  row.streams[1].age = 2 * kSecond;
  const std::string text = EncodeStreamRow(row, 1'000'000);
  const auto back = DecodeStreamRow(StreamRowKey(row), text, 1'003'000);
  ASSERT_TRUE(back.ok());
  EXPECT_EQ(back->node, "front/1");
  EXPECT_EQ(back->slot, 7U);
  ASSERT_EQ(back->streams.size(), 2U);
  EXPECT_EQ(back->streams[0].attempt, "a");
  EXPECT_EQ(back->streams[0].age, 3 * kSecond);
  EXPECT_EQ(back->streams[1].version, "v2");
  EXPECT_EQ(back->streams[1].age, 5 * kSecond);
  // A clock that was set back.
  EXPECT_EQ(DecodeStreamRow("g/0", text, 0)->streams[0].age, 0);
  for (
      const char* bad :
      {"", "[]", "{}", R"({"groups":[{}]})", R"({"groups":7})",
       R"({"groups":[{"account":"","service":"","version":"","streams":[[]]}]})",
       R"({"groups":[{"account":"","service":"","version":"","streams":[[1,2]]}]})"}) {
    EXPECT_FALSE(DecodeStreamRow("g/0", bad, 0).ok()) << bad;
  }
  EXPECT_FALSE(DecodeStreamRow("g", text, 0).ok());
  EXPECT_FALSE(DecodeStreamRow("g/x", text, 0).ok());
}

struct RowsRig : GatewayRig {
  void AddVersion(const std::string& name, const std::string& version) {
    ReplicaEntry entry;
    entry.id = name;
    entry.service = "engine";
    entry.address = {"10.0.1." + std::to_string(++last_host), 80};
    entry.domain = "a";
    entry.version = version;
    entry.slots = 8;
    directory.Put(entry);
  }
  ExchangeId TakeUp(const std::string& attempt) {
    ClientRequest call;
    call.resume_after = 0;
    call.resumed_attempt = attempt;
    return GatewayRig::Send("resume", "k1", std::move(call));
  }
};

// Guards against a gateway that refuses a stream in progress after a kill of
// all, beside two versions, or goes on with it at the other version.
TEST(StreamRecorderTest, AFreshGatewayGoesOnWithRecordedStreams) {
  RowsRig rig;
  rig.AddVersion("e1", "v1");
  rig.AddVersion("e2", "v2");
  rig.Call("resume");
  const std::string began = rig.sent.back().replica.name;
  rig.core.OnReplicaHead(rig.sent.back().call, GatewayRig::Head());
  rig.core.OnReplicaBody(rig.sent.back().call, "id: 0\ndata: x\n\n");
  for (int n = 0; n < 100; ++n) {
    rig.Pass(10 * kMillisecond);
  }
  ASSERT_EQ(rig.stream_rows.size(), 1U);
  RowsRig fresh;
  fresh.AddVersion("e1", "v1");
  fresh.AddVersion("e2", "v2");
  fresh.recorded = rig.recorded;
  fresh.stream_rows = rig.stream_rows;
  fresh.TakeUp(rig.stream_rows[0].streams[0].attempt);
  ASSERT_EQ(fresh.sent.size(), 1U);
  EXPECT_EQ(fresh.sent[0].replica.name, began);
  // One that has no record is refused at once, without another reading.
  const ExchangeId id = fresh.TakeUp("unknown");
  EXPECT_EQ(fresh.refused[id].reason, Refusal::kUnknownStream);
  EXPECT_EQ(fresh.stream_row_reads, 1);
}

}  // namespace
}  // namespace acaciachute
