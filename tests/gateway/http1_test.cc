// Tests the HTTP/1.1 parsers, above all with heads and bodies that two
// implementations could parse differently.
#include "protocol/http1.h"

#include <gtest/gtest.h>

#include "text.h"

namespace acaciachute {
namespace {

using RequestState = HttpRequestReader::State;
using AnswerState = HttpAnswerReader::State;

struct RawRequest {
  const char* what;
  const char* bytes;
  int status;  // Zero if accepted.
};

// Guards against request smuggling: a client hides a request in the body of
// another one, and an upstream runs it as another client's. Ambiguous heads get
// 400.
TEST(HttpRequestReaderTest, RefusesAmbiguousHeads) {
  const RawRequest table[] = {
      {"two lengths",
       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
       "Content-Length: 5\r\n\r\nabcde",
       400},
      {"the same length twice",
       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
       "Content-Length: 3\r\n\r\nabc",
       400},
      {"length, then chunked",
       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       400},
      {"chunked, then length",
       "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
       "Content-Length: 3\r\n\r\n0\r\n\r\n",
       400},
      {"space before the colon",
       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc", 400},
      {"bare line feed", "GET /a HTTP/1.1\nHost: h\n\n", 400},
      {"negative length",
       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -3\r\n\r\n", 400},
      {"signed length",
       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc", 400},
      {"hexadecimal prefix",
       "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
       "0x0\r\n\r\n",
       400},
      {"almost chunked",
       "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n"
       "Content-Length: 3\r\n\r\nabc",
       400},
      {"two codings",
       "POST /a HTTP/1.1\r\nHost: h\r\n"
       "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
       400},
      {"two hosts", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", 400},
      {"no host", "GET /a HTTP/1.1\r\n\r\n", 400},
      {"folded field", "GET /a HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n", 400},
      {"not a path", "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", 400},
      {"good", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 0},
      {"good with chunks",
       "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
       "3\r\nabc\r\n0\r\n\r\n",
       0},
  };
  for (const RawRequest& it : table) {
    HttpRequestReader reader({});
    std::string buf = it.bytes;
    const RequestState state = reader.Read(&buf);
    if (it.status == 0) {
      EXPECT_EQ(state, RequestState::kDone) << it.what;
    } else {
      EXPECT_EQ(state, RequestState::kBad) << it.what;
      EXPECT_EQ(reader.error_status(), it.status) << it.what;
    }
  }
}

TEST(HttpRequestReaderTest, KeepsTheTargetByteForByte) {
  HttpRequestReader reader({});
  std::string buf = "GET /a%2fb//c/../d/%41?q=%20 HTTP/1.1\r\nHost: h\r\n\r\n";
  ASSERT_EQ(reader.Read(&buf), RequestState::kDone);
  EXPECT_EQ(reader.head().target, "/a%2fb//c/../d/%41?q=%20");
}

TEST(HttpRequestReaderTest, ReadsRequestsThatArriveByteByByteAndTogether) {
  const std::string two =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
      "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
  HttpRequestReader reader({});
  std::string buf;
  std::vector<std::string> targets;
  for (const char c : two) {
    buf += c;
    if (reader.Read(&buf) == RequestState::kDone) {
      targets.push_back(reader.TakeHead().target + reader.TakeBody());
      reader.Reset({});
    }
  }
  EXPECT_EQ(targets, (std::vector<std::string>{"/aabc", "/b"}));
}

TEST(HttpRequestReaderTest, BoundsHeadAndBody) {
  HttpReadLimits limits;
  limits.head_bytes = 200;
  limits.body_bytes = 10;
  HttpRequestReader head(limits);
  std::string buf =
      "GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(300, 'x') + "\r\n\r\n";
  EXPECT_EQ(head.Read(&buf), RequestState::kBad);
  EXPECT_EQ(head.error_status(), 431);
  HttpRequestReader body(limits);
  buf = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n";
  EXPECT_EQ(body.Read(&buf), RequestState::kBad);
  EXPECT_EQ(body.error_status(), 413);
}
// Guards against a chunk's head or a trailer without end, which the parser
// keeps until it is complete.
TEST(HttpRequestReaderTest, BoundsChunkHeadsAndTrailersAsHeads) {
  const HttpReadLimits limits;
  const std::string head =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string begin : {"1;", "1\r\nx\r\n0\r\nName: "}) {
    const std::string last = begin == "1;" ? "\r\nx\r\n0\r\n\r\n" : "\r\n\r\n";
    HttpRequestReader legal(limits);
    std::string buf = head + begin;
    EXPECT_EQ(legal.Read(&buf), RequestState::kBody);
    buf += std::string(limits.head_bytes - 1000, 'e');
    EXPECT_EQ(legal.Read(&buf), RequestState::kBody);
    buf += last;
    EXPECT_EQ(legal.Read(&buf), RequestState::kDone) << legal.error();
    EXPECT_EQ(legal.TakeBody(), "x");
    HttpRequestReader endless(limits);
    buf = head + begin + std::string(limits.head_bytes + 1, 'e');
    EXPECT_EQ(endless.Read(&buf), RequestState::kBad);
    EXPECT_EQ(endless.error_status(), 431);
  }
}

// Guards against a body that is mistaken for a line that goes on in its head.
TEST(HttpRequestReaderTest, ReadsABodyThatLooksLikeAFoldedLine) {
  HttpRequestReader reader({});
  std::string buf =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n\r\n xNEXT";
  EXPECT_EQ(reader.Read(&buf), RequestState::kDone);
  EXPECT_EQ(reader.TakeBody(), "\r\n x");
  EXPECT_EQ(buf, "NEXT");
}

TEST(HttpAnswerReaderTest, ReadsABodyThatEndsWithItsConnection) {
  HttpAnswerReader reader(false);
  std::string buf = "HTTP/1.1 200 OK\r\n\r\nabc";
  EXPECT_EQ(reader.Read(&buf), AnswerState::kBody);
  EXPECT_EQ(reader.TakeBody(), "abc");
  EXPECT_EQ(reader.ReadEnd(), AnswerState::kDone);
}

// Guards against a whole answer that is taken for a bad one because its head
// arrives before the first byte of its body.
TEST(HttpAnswerReaderTest, ReadsAHeadThatArrivesAlone) {
  HttpAnswerReader reader(false);
  std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n";
  EXPECT_EQ(reader.Read(&head), AnswerState::kBody) << reader.error();
  std::string body = "abc";
  EXPECT_EQ(reader.Read(&body), AnswerState::kDone) << reader.error();
  EXPECT_EQ(reader.TakeBody(), "abc");
}

// Guards against delivering a truncated answer as a complete one, when the
// connection ends before the stated length.
TEST(HttpAnswerReaderTest, RejectsATruncatedBody) {
  for (const char* bytes :
       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"}) {
    HttpAnswerReader reader(false);
    std::string buf = bytes;
    reader.Read(&buf);
    EXPECT_EQ(reader.ReadEnd(), AnswerState::kBad);
  }
}

// Guards against allocating memory for a Content-Length that a faulty replica
// states.
TEST(HttpAnswerReaderTest, ReservesNothingForAStatedLength) {
  HttpAnswerReader reader(false);
  std::string buf =
      "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000\r\n\r\nabc";
  EXPECT_EQ(reader.Read(&buf), AnswerState::kBody);
  EXPECT_EQ(reader.TakeBody(), "abc");
}

// Guards against a status that is none and is taken for an interim answer, so
// that the call waits until its deadline, or for a final one, so that the
// client gets it.
TEST(HttpAnswerReaderTest, RejectsAStatusThatIsNone) {
  for (const char* status : {"000", "001", "099", "101", "600", "999"}) {
    for (const char* rest :
         {"Content-Length: 2\r\n\r\nok", "\r\n",
          "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"}) {
      HttpAnswerReader reader(false);
      std::string buf = StrCat("HTTP/1.1 ", status, " Odd\r\n", rest);
      EXPECT_EQ(reader.Read(&buf), HttpAnswerReader::State::kBad) << status;
      EXPECT_NE(std::string(reader.error()).find("status"), std::string::npos);
    }
  }
}

TEST(HttpAnswerReaderTest, SkipsInterimAnswers) {
  HttpAnswerReader reader(false);
  std::string buf =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\nextra";
  EXPECT_EQ(reader.Read(&buf), AnswerState::kDone);
  EXPECT_EQ(reader.head().status, 204);
  EXPECT_EQ(buf, "extra");
}

TEST(HttpFieldsTest, KnowsFieldsOfOneConnection) {
  const HttpFields fields = {{"Connection", "close, X-Own"}, {"X-Own", "1"}};
  EXPECT_TRUE(IsHopByHop(fields, "x-own"));
  EXPECT_TRUE(IsHopByHop(fields, "Keep-Alive"));
  EXPECT_FALSE(IsHopByHop(fields, "X-Other"));
}

}  // namespace
}  // namespace acaciachute
