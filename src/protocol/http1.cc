#include "protocol/http1.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <limits>
#include <optional>
#include <utility>

#include "text.h"

namespace acaciachute {
namespace {

namespace http = boost::beast::http;

std::string ToString(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

template <typename Fields>
HttpFields CopyFields(const Fields& fields) {
  HttpFields out;
  for (const auto& it : fields) {
    out.push_back({ToString(it.name_string()), ToString(it.value())});
  }
  return out;
}

std::size_t CountFields(const HttpFields& fields, std::string_view name) {
  std::size_t n = 0;
  for (const auto& it : fields) {
    n += EqualsIgnoreCase(it.name, name) ? 1 : 0;
  }
  return n;
}

// Whether the only transfer coding, if any, is "chunked", the one that all HTTP
// implementations parse alike.
bool OnlyChunked(const HttpFields& fields) {
  const std::string* coding = FindField(fields, "transfer-encoding");
  if (coding == nullptr) {
    return true;
  }
  return CountFields(fields, "transfer-encoding") == 1 &&
         EqualsIgnoreCase(Trim(*coding), "chunked");
}

// Whether a header field is continued on the next line. Some implementations
// join the lines, others end the field at the line break.
bool HasFoldedLine(std::string_view head) {
  return Contains(head, "\r\n ") || Contains(head, "\r\n\t");
}

const char* AmbiguityIn(const HttpRequestHead& head, bool version_1_1) {
  if (CountFields(head.fields, "host") > 1) {
    return "more than one Host field";
  }
  if (version_1_1 && CountFields(head.fields, "host") == 0) {
    return "no Host field";
  }
  if (!OnlyChunked(head.fields)) {
    return "a transfer coding other than chunked";
  }
  if (!version_1_1 && FindField(head.fields, "transfer-encoding") != nullptr) {
    return "a transfer coding in HTTP/1.0";
  }
  if (CountFields(head.fields, "content-length") > 1) {
    return "more than one Content-Length field";
  }
  if (head.target.empty() || head.target.front() != '/') {
    return "the target is not a path";
  }
  return nullptr;
}

constexpr int kHeadTooLarge = 431;

int StatusOf(const boost::beast::error_code& ec) {
  constexpr int kBadRequest = 400;
  constexpr int kTooLarge = 413;
  if (ec == http::error::header_limit) {
    return kHeadTooLarge;
  }
  return ec == http::error::body_limit ? kTooLarge : kBadRequest;
}

}  // namespace

struct HttpRequestReader::Impl {
  using Parser = http::request_parser<http::buffer_body>;

  explicit Impl(const HttpReadLimits& limits) { Reset(limits); }

  void Reset(const HttpReadLimits& limits) {
    parser.emplace();
    parser->header_limit(static_cast<std::uint32_t>(limits.head_bytes));
    parser->body_limit(limits.body_bytes);
    parser->eager(false);
    max_unparsed = limits.head_bytes;
    state = State::kHead;
    head = {};
    std::string().swap(received);  // An assignment would keep the memory.
    error_status = 0;
    error.clear();
  }

  void Fail(int status, std::string why) {
    state = State::kBad;
    error_status = status;
    error = std::move(why);
  }

  void SetHead(std::string_view raw) {
    const auto& message = parser->get();
    const bool version_1_1 = message.version() >= 11;
    head.method = ToString(message.method_string());
    head.target = ToString(message.target());
    head.fields = CopyFields(message.base());
    head.keep_alive = parser->keep_alive();
    head.chunked_answer = version_1_1;
    const std::string* expect = FindField(head.fields, "expect");
    head.expects_continue =
        expect != nullptr && EqualsIgnoreCase(*expect, "100-continue");
    state = State::kBody;
    if (HasFoldedLine(raw)) {
      Fail(400, "a field that goes on in the next line");
    } else if (const char* why = AmbiguityIn(head, version_1_1)) {
      Fail(400, why);
    }
  }

  // Parses more of `rest`. Returns whether any bytes were consumed.
  bool Step(std::string_view* rest) {
    std::array<char, 16 << 10> part;
    auto& body = parser->get().body();
    body.data = part.data();
    body.size = part.size();
    body.more = true;
    boost::beast::error_code ec;
    const std::size_t n =
        parser->put(boost::asio::buffer(rest->data(), rest->size()), ec);
    if (ec && ec != http::error::need_more && ec != http::error::need_buffer) {
      Fail(StatusOf(ec), ec.message());
      return false;
    }
    received.append(part.data(), part.size() - body.size);
    if (state == State::kHead && parser->is_header_done()) {
      SetHead(rest->substr(0, n));
    }
    rest->remove_prefix(n);
    if (state == State::kBody && parser->is_done()) {
      state = State::kDone;
    } else if (state == State::kBody && n == 0 && rest->size() > max_unparsed) {
      Fail(kHeadTooLarge, "a chunk's head or a trailer is too long");
    }
    return n > 0;
  }

  std::optional<Parser> parser;
  State state = State::kHead;
  HttpRequestHead head;
  std::string received;  // Of the body.
  std::size_t max_unparsed = 0;
  int error_status = 0;
  std::string error;
};

HttpRequestReader::HttpRequestReader(const HttpReadLimits& limits)
    : impl_(std::make_unique<Impl>(limits)) {}
HttpRequestReader::~HttpRequestReader() = default;

HttpRequestReader::State HttpRequestReader::Read(std::string* buf) {
  std::string_view rest = *buf;
  while (!rest.empty() && impl_->state <= State::kBody && impl_->Step(&rest)) {
  }
  buf->erase(0, buf->size() - rest.size());
  return impl_->state;
}
HttpRequestReader::State HttpRequestReader::state() const {
  return impl_->state;
}
int HttpRequestReader::error_status() const {
  return impl_->error_status;
}
const char* HttpRequestReader::error() const {
  return impl_->error.c_str();
}
const HttpRequestHead& HttpRequestReader::head() const {
  return impl_->head;
}
HttpRequestHead HttpRequestReader::TakeHead() {
  return std::move(impl_->head);
}
std::string HttpRequestReader::TakeBody() {
  return std::exchange(impl_->received, {});
}
std::size_t HttpRequestReader::body_bytes() const {
  return impl_->received.size();
}
void HttpRequestReader::Reset(const HttpReadLimits& limits) {
  impl_->Reset(limits);
}

struct HttpAnswerReader::Impl {
  using Parser = http::response_parser<http::buffer_body>;

  explicit Impl(bool to_head_request) : to_head(to_head_request) { Reset(); }

  void Reset() {
    parser.emplace();
    parser->header_limit(kMaxHeadBytes);
    // Without any limit, Beast refuses a head with Content-Length that arrives
    // before the first byte of its body.
    parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    parser->eager(true);
    parser->skip(to_head);
  }

  void SetHead() {
    const auto& message = parser->get();
    head.status = static_cast<int>(message.result_int());
    head.reason = ToString(message.reason());
    head.fields = CopyFields(message.base());
    head.keep_alive = parser->keep_alive();
    head.expected_end = ExpectedEnd();
    state = State::kBody;
    if (!OnlyChunked(head.fields) ||
        (FindField(head.fields, "transfer-encoding") != nullptr &&
         FindField(head.fields, "content-length") != nullptr)) {
      Fail("an ambiguous body length");
    }
    if (!IsStatus(head.status)) {
      Fail(StrCat("a status that is none: ", head.status));
    }
  }

  // Others are no statuses (RFC 9110, 15); the end of such an answer is not
  // known, and what follows would be taken for it. No request asks for another
  // protocol.
  static bool IsStatus(int status) {
    constexpr int kFirst = 100;
    constexpr int kLast = 599;
    constexpr int kSwitchingProtocols = 101;
    return status >= kFirst && status <= kLast && status != kSwitchingProtocols;
  }

  AnswerEnd ExpectedEnd() const {
    constexpr int kNoContent = 204;
    constexpr int kNotModified = 304;
    if (parser->need_eof()) {
      return AnswerEnd::kClosed;
    }
    if (to_head || head.status == kNoContent || head.status == kNotModified) {
      return AnswerEnd::kNoBody;
    }
    return parser->chunked() ? AnswerEnd::kLastChunk : AnswerEnd::kLength;
  }

  bool Step(std::string* buf) {
    std::array<char, 16 << 10> part;
    auto& body = parser->get().body();
    body.data = part.data();
    body.size = part.size();
    body.more = true;
    boost::beast::error_code ec;
    const std::size_t n =
        parser->put(boost::asio::buffer(buf->data(), buf->size()), ec);
    const std::size_t body_part = part.size() - body.size;
    received.append(part.data(), body_part);
    buf->erase(0, n);
    if (ec && ec != http::error::need_more && ec != http::error::need_buffer) {
      Fail(ec.message());
      return false;
    }
    if (const char* why = Count(n - body_part, body_part, buf->size())) {
      Fail(why);
      return false;
    }
    if (state == State::kHead && parser->is_header_done()) {
      SetHead();
    }
    if (state == State::kBody && parser->is_done()) {
      state = State::kDone;
      SkipInterim();
    }
    return n > 0;
  }

  // Counts bytes that were parsed. `unparsed`: bytes left in the buffer.
  // Returns which limit they exceed, if any.
  const char* Count(std::size_t other, std::size_t body, std::size_t unparsed) {
    if (state == State::kHead) {
      head_bytes += other;
      return head_bytes > kMaxHeadBytes ? "too many bytes before the body"
                                        : nullptr;
    }
    framing_bytes += other;
    body_bytes += body;
    const bool stalls = other == 0 && body == 0;
    if (stalls && unparsed > kMaxUnparsedBytes) {
      return "a chunk's head or a trailer is too long";
    }
    return framing_bytes >
                   kMaxFramingBytes + kMaxFramingPerBodyByte * body_bytes
               ? "too much framing"
               : nullptr;
  }

  void Fail(std::string why) {
    state = State::kBad;
    error = std::move(why);
  }

  // Discards an interim answer such as "100 Continue", which precedes the final
  // one.
  void SkipInterim() {
    constexpr int kFirstFinal = 200;
    if (head.status < kFirstFinal) {
      Reset();
      head = {};
      state = State::kHead;
    }
  }

  const bool to_head;
  std::optional<Parser> parser;
  State state = State::kHead;
  HttpAnswerHead head;
  std::size_t head_bytes = 0;  // With interim answers.
  std::size_t framing_bytes = 0;
  std::uint64_t body_bytes = 0;
  std::string received;
  std::string error;
};

HttpAnswerReader::HttpAnswerReader(bool to_head_request)
    : impl_(std::make_unique<Impl>(to_head_request)) {}
HttpAnswerReader::~HttpAnswerReader() = default;

HttpAnswerReader::State HttpAnswerReader::Read(std::string* buf) {
  while (!buf->empty() && impl_->state <= State::kBody && impl_->Step(buf)) {
  }
  return impl_->state;
}
HttpAnswerReader::State HttpAnswerReader::ReadEnd() {
  if (impl_->state == State::kDone || impl_->state == State::kBad) {
    return impl_->state;
  }
  boost::beast::error_code ec;
  if (impl_->state == State::kBody && impl_->parser->need_eof()) {
    impl_->parser->put_eof(ec);
    impl_->state = ec ? State::kBad : State::kDone;
    return impl_->state;
  }
  impl_->state = State::kBad;
  impl_->error = "the connection ended before the answer";
  return impl_->state;
}
HttpAnswerReader::State HttpAnswerReader::state() const {
  return impl_->state;
}
const char* HttpAnswerReader::error() const {
  return impl_->error.c_str();
}
const HttpAnswerHead& HttpAnswerReader::head() const {
  return impl_->head;
}
AnswerEnd HttpAnswerReader::end() const {
  return impl_->state == State::kDone ? impl_->head.expected_end
                                      : AnswerEnd::kBroken;
}
std::string HttpAnswerReader::TakeBody() {
  return std::exchange(impl_->received, {});
}

namespace {

void AppendFields(std::string* out, const HttpFields& fields) {
  for (const auto& it : fields) {
    *out += it.name;
    *out += ": ";
    *out += it.value;
    *out += "\r\n";
  }
  *out += "\r\n";
}

}  // namespace

std::string WriteRequestHead(std::string_view method,
                             std::string_view target,
                             const HttpFields& fields) {
  std::string out = StrCat(method, " ", target, " HTTP/1.1\r\n");
  AppendFields(&out, fields);
  return out;
}

std::string WriteAnswerHead(int status,
                            std::string_view reason,
                            const HttpFields& fields) {
  std::string out = StrCat("HTTP/1.1 ", status, " ", reason, "\r\n");
  AppendFields(&out, fields);
  return out;
}

std::string WriteChunk(std::string_view bytes) {
  constexpr std::string_view kHex = "0123456789abcdef";
  constexpr std::size_t kBase = 16;
  std::string size;
  for (std::size_t n = bytes.size(); n > 0; n /= kBase) {
    size.insert(size.begin(), kHex[n % kBase]);
  }
  return StrCat(size, "\r\n", bytes, "\r\n");
}

std::string_view ReasonOf(int status) {
  const auto reason =
      http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
  return {reason.data(), reason.size()};
}

}  // namespace acaciachute
