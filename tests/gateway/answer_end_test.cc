// Tests how the end of a replica's answer travels to its client, under any cut
// of an answer in any framing, split into any parts, in virtual time.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include "coordination/gateway/event_splitter.h"
#include "protocol/http1.h"
#include "tests/gateway/gateway_rig.h"
#include "tests/soak/answer_bytes.h"

namespace acaciachute {
namespace {

constexpr std::array<AnswerEnd, 3> kFramings = {
    AnswerEnd::kLength, AnswerEnd::kLastChunk, AnswerEnd::kClosed};

// A stream and the places at which nothing that came before shows a cut.
struct GeneratedStream {
  std::string text;
  std::vector<std::size_t> boundaries;
};

// Events from number `first` on, with one kind of line end, comments and, at
// the start, sometimes a byte order mark.
GeneratedStream Generate(Random* random, int first, int events) {
  constexpr std::array<std::string_view, 3> kLineEnds = {"\n", "\r\n", "\r"};
  const std::string_view eol = kLineEnds[random->Below(kLineEnds.size())];
  GeneratedStream out;
  if (random->Below(4) == 0) {
    out.text = "\xEF\xBB\xBF";
  }
  for (int n = first; n < first + events; ++n) {
    if (random->Below(3) == 0) {
      // Comments are no event, also where a CRLF after them is cut in two.
      out.text += ": comment";
      for (std::uint64_t line = 0; line <= random->Below(2); ++line) {
        out.text += eol;
        out.boundaries.push_back(out.text.size());
        out.boundaries.push_back(out.text.size() - eol.size() + 1);
      }
    }
    std::string event = StrCat("id: ", n, eol);
    for (std::uint64_t line = 0; line <= random->Below(2); ++line) {
      event += StrCat("data: ", n, std::string(random->Below(20), 'x'), eol);
    }
    event += eol;
    out.text += event;
    out.boundaries.push_back(out.text.size());
  }
  return out;
}

// Passes `bytes` of an answer to the gateway in random parts, as the transport
// does, and then ends its connection.
void Deliver(GatewayRig* rig,
             CallId call,
             std::string_view bytes,
             bool resets,
             Random* random) {
  HttpAnswerReader reader(false);
  std::string buf;
  bool head_delivered = false;
  while (!bytes.empty()) {
    const std::size_t n =
        std::min<std::size_t>(bytes.size(), 1 + random->Below(40));
    buf += bytes.substr(0, n);
    bytes.remove_prefix(n);
    const auto state = reader.Read(&buf);
    if (state == HttpAnswerReader::State::kHead) {
      continue;
    }
    if (!std::exchange(head_delivered, true)) {
      ReplicaHead head = GatewayRig::Head(reader.head().status);
      head.expected_end = reader.head().expected_end;
      rig->core.OnReplicaHead(call, head);
    }
    if (const std::string body = reader.TakeBody(); !body.empty()) {
      rig->core.OnReplicaBody(call, body);
    }
    if (state == HttpAnswerReader::State::kDone) {
      rig->core.OnReplicaEnd(call, reader.end());
      return;
    }
  }
  if (!resets && reader.ReadEnd() == HttpAnswerReader::State::kDone) {
    rig->core.OnReplicaEnd(call, reader.end());
  } else {
    rig->core.OnReplicaFailed(call, true, "the connection ended");
  }
}

// Guards against a stream that was broken off at any byte, in any framing and
// with any line ends, and that its client gets as a complete one.
TEST(AnswerEndTest, NoCutOfAStreamIsStatedAsComplete) {
  constexpr int kStreams = 400;
  constexpr int kCutsPerStream = 25;
  for (int seed = 0; seed < kStreams; ++seed) {
    Random random(static_cast<std::uint64_t>(seed));
    const GeneratedStream stream =
        Generate(&random, 0, 1 + static_cast<int>(random.Below(4)));
    for (int n = 0; n < kCutsPerStream; ++n) {
      GatewayRig rig;
      rig.AddReplica("e1", "engine");
      const ExchangeId id = rig.Call("stream");
      const AnswerEnd framing = kFramings[random.Below(kFramings.size())];
      const std::string whole = AnswerBytes(framing, 200, {}, {stream.text});
      const std::size_t head = whole.find("\r\n\r\n") + 4;
      const std::size_t cut = random.Below(whole.size() + 1);
      const bool resets = random.Below(2) == 0;
      Deliver(&rig, rig.sent[0].call, std::string_view(whole).substr(0, cut),
              resets, &random);
      const std::string got = rig.streams[id];
      EXPECT_EQ(got, stream.text.substr(0, got.size())) << "seed " << seed;
      const auto end = rig.client_ends.find(id);
      if (end == rig.client_ends.end() || end->second == AnswerEnd::kBroken) {
        EXPECT_TRUE(cut < whole.size() ||
                    (framing == AnswerEnd::kClosed && resets))
            << "a whole stream was broken off, seed " << seed;
        continue;
      }
      if (got == stream.text) {
        continue;
      }
      EXPECT_EQ(end->second, AnswerEnd::kClosed) << "seed " << seed;
      EXPECT_EQ(framing, AnswerEnd::kClosed) << "seed " << seed;
      EXPECT_FALSE(resets) << "seed " << seed;
      EXPECT_GT(cut, head) << "seed " << seed;
      EXPECT_TRUE(std::find(stream.boundaries.begin(), stream.boundaries.end(),
                            got.size()) != stream.boundaries.end())
          << "inside an event, seed " << seed << ", cut " << cut;
    }
  }
}

// Guards against resumed streams with a gap or a repeated event, and against
// ones that end as complete although their second replica stated no end.
TEST(AnswerEndTest, ACutStreamGoesOnAtAnotherReplicaWithoutAGap) {
  constexpr int kStreams = 2000;
  int resumed = 0;
  for (int seed = 0; seed < kStreams; ++seed) {
    Random random(static_cast<std::uint64_t>(seed));
    GatewayRig rig;
    rig.AddReplica("e1", "engine");
    rig.AddReplica("e2", "engine");
    const ExchangeId id = rig.Call("resume");
    constexpr int kEvents = 4;
    std::vector<std::string> events;
    std::string text;
    for (int n = 0; n < kEvents; ++n) {
      events.push_back(StrCat("id: ", n, "\ndata: d", n, "\n\n"));
      text += events.back();
    }
    const AnswerEnd first = kFramings[random.Below(kFramings.size())];
    const std::string answer = AnswerBytes(first, 200, {}, events);
    Deliver(&rig, rig.sent[0].call,
            std::string_view(answer).substr(0, random.Below(answer.size())),
            random.Below(2) == 0, &random);
    AnswerEnd second = first;
    if (rig.sent.size() == 2) {
      ++resumed;
      second = kFramings[random.Below(kFramings.size())];
      const auto after = rig.sent[1].resume_after;
      const std::vector<std::string> rest(
          events.begin() +
              (after ? static_cast<std::ptrdiff_t>(*after) + 1 : 0),
          events.end());
      Deliver(&rig, rig.sent[1].call, AnswerBytes(second, 200, {}, rest), false,
              &random);
    }
    ASSERT_TRUE(rig.client_ends.contains(id) || rig.refused.contains(id));
    const std::string got = rig.streams[id];
    EXPECT_EQ(got, text.substr(0, got.size())) << "seed " << seed;
    const AnswerEnd end = rig.client_ends[id];
    if (StatesComplete(end)) {
      EXPECT_EQ(got, text) << "seed " << seed;
      EXPECT_TRUE(StatesComplete(second)) << "seed " << seed;
    }
  }
  EXPECT_GT(resumed, kStreams / 2);
}

// Guards against an answer that nobody stated a length of and that its client
// gets with one: the end travels with the answer.
TEST(AnswerEndTest, APlainAnswerKeepsItsEnd) {
  for (const AnswerEnd framing : kFramings) {
    GatewayRig rig;
    rig.AddReplica("r1", "app");
    const ExchangeId id = rig.Call("plain");
    Random random(1);
    Deliver(&rig, rig.sent[0].call, AnswerBytes(framing, 200, {}, {"answer"}),
            false, &random);
    EXPECT_EQ(rig.answered[id].second, "answer");
    EXPECT_EQ(rig.client_ends[id], framing);
  }
}

// Guards against a stream without any event that is taken for a complete one
// when its replica crashes after the head.
TEST(AnswerEndTest, AStreamClosedBeforeItsFirstEventIsLost) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  const ExchangeId id = rig.Call("stream");
  ReplicaHead head = GatewayRig::Head();
  head.expected_end = AnswerEnd::kClosed;
  rig.AnswerWith(rig.sent[0].call, head);
  EXPECT_EQ(rig.refused[id].verdict, Verdict::kMayHaveRun);
  EXPECT_TRUE(rig.ended.empty());
}

// Guards against events that a client receives twice: it resumed a stream
// itself, and the replica breaks off before its first event.
TEST(AnswerEndTest, AStreamThatTheClientResumedKeepsItsPlace) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  rig.AddReplica("e2", "engine");
  rig.CallAfter("resume", 5);
  rig.core.OnReplicaHead(rig.sent[0].call, GatewayRig::Head());
  rig.core.OnReplicaBody(rig.sent[0].call, ": comment\n\n");
  rig.core.OnReplicaFailed(rig.sent[0].call, true, "broken");
  ASSERT_EQ(rig.sent.size(), 2U);
  EXPECT_EQ(rig.sent[1].resume_after, 5U);
}

// Guards against events that a client receives twice: they have no ids, so no
// replica can go on after the last one.
TEST(AnswerEndTest, AStreamWithoutIdsIsNotResumed) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  rig.AddReplica("e2", "engine");
  const ExchangeId id = rig.Call("resume");
  rig.core.OnReplicaHead(rig.sent[0].call, GatewayRig::Head());
  rig.core.OnReplicaBody(rig.sent[0].call, "data: a\n\n");
  rig.core.OnReplicaFailed(rig.sent[0].call, true, "broken");
  EXPECT_EQ(rig.sent.size(), 1U);
  EXPECT_EQ(rig.client_ends[id], AnswerEnd::kBroken);
}

// Guards against an answer without a body, such as 204, that its client gets
// with chunks.
TEST(AnswerEndTest, AnAnswerWithoutABodyIsNoStream) {
  GatewayRig rig;
  rig.AddReplica("e1", "engine");
  const ExchangeId id = rig.Call("stream");
  ReplicaHead head = GatewayRig::Head(204);
  head.expected_end = AnswerEnd::kNoBody;
  rig.AnswerWith(rig.sent[0].call, head);
  EXPECT_FALSE(rig.streams.contains(id));
  EXPECT_EQ(rig.client_ends[id], AnswerEnd::kNoBody);
}

struct SplitCase {
  std::string bytes;
  std::string complete;
  bool inside_event;
  std::optional<std::uint64_t> last_id;
};

// Guards against events that are held back or cut in streams with other line
// ends than LF, comments or a byte order mark.
TEST(EventSplitterTest, KnowsEachKindOfLineEnd) {
  const std::vector<SplitCase> cases = {
      {"id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n", false, 1},
      {"id: 1\r\ndata: a\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n", false, 1},
      {"id: 1\rdata: a\r\r", "id: 1\rdata: a\r\r", false, 1},
      {"id: 1\r\ndata: a\n\r\n", "id: 1\r\ndata: a\n\r\n", false, 1},
      {"id: 1\r\ndata: a\r\n\r", "", true, std::nullopt},
      {"data: a\n", "", true, std::nullopt},
      {"data: a", "", true, std::nullopt},
      {"data: a\n\n: end\n", "data: a\n\n", false, std::nullopt},
      {"data: a\n\n: en", "data: a\n\n", true, std::nullopt},
      {"data: a\n\n\n", "data: a\n\n\n", false, std::nullopt},
      {"\xEF\xBB\xBFid: 7\n\n", "\xEF\xBB\xBFid: 7\n\n", false, 7},
      {"id: 1\n\nid: 2\n", "id: 1\n\n", true, 1},
      {"", "", false, std::nullopt}};
  for (const SplitCase& it : cases) {
    for (std::size_t step = 1; step <= it.bytes.size() + 1; ++step) {
      EventSplitter splitter;
      std::string complete;
      for (std::size_t at = 0; at < it.bytes.size(); at += step) {
        complete += splitter.Add(std::string_view(it.bytes).substr(at, step));
      }
      EXPECT_EQ(complete, it.complete) << it.bytes << ", step " << step;
      EXPECT_EQ(splitter.InsideEvent(), it.inside_event)
          << it.bytes << ", step " << step;
      EXPECT_EQ(splitter.last_event_id(), it.last_id) << it.bytes;
    }
  }
}

}  // namespace
}  // namespace acaciachute
