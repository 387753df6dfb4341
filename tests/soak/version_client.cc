#include "tests/soak/version_client.h"

#include <algorithm>
#include <array>
#include <utility>

#include "tests/soak/loopback.h"
#include "text.h"

namespace acaciachute {
namespace {

constexpr int kOk = 200;
constexpr std::size_t kMaxTries = 8;
// Events of a stream.
constexpr std::uint64_t kMinEvents = 40;
constexpr std::uint64_t kMaxEvents = 60;
// A client abandons an answer after such a pause.
constexpr DurationUs kMaxPause = 2500 * kMillisecond;
constexpr DurationUs kWatchPeriod = 100 * kMillisecond;
// Delay until a client takes its stream up: half of them wait briefly.
constexpr DurationUs kMinDelay = 50 * kMillisecond;
constexpr DurationUs kBriefDelay = 500 * kMillisecond;
constexpr DurationUs kMaxDelay = 4 * kSecond;
// A shorter rest of a deadline is not worth a try.
constexpr DurationUs kMinLeft = 300 * kMillisecond;
constexpr std::uint64_t kOwnDeadlinesPercent = 60;
constexpr std::uint64_t kOddNamesPercent = 15;

struct AttemptName {
  NamedAttempt it;
  const char* name;
};
constexpr std::array<AttemptName, 4> kAttemptNames = {{
    {NamedAttempt::kFirst, "the first attempt"},
    {NamedAttempt::kTakeUp, "a take-up"},
    {NamedAttempt::kUnknown, "an unknown attempt"},
    {NamedAttempt::kNone, "none"},
}};

NamedAttempt DrawNames(Random* random) {
  return random->Below(100) < kOddNamesPercent
             ? kAttemptNames[1 + random->Below(kAttemptNames.size() - 1)].it
             : NamedAttempt::kFirst;
}

// The status and the reason that an answer states; zero: there was no answer.
std::string RefusalOf(int status, const std::string& body) {
  constexpr std::string_view kReason = "\"reason\":\"";
  const auto at = body.find(kReason);
  if (at == std::string::npos) {
    return StrCat(status);
  }
  const auto begin = at + kReason.size();
  return StrCat(status, " ", body.substr(begin, body.find('"', begin) - begin));
}

}  // namespace

const char* NameOf(NamedAttempt it) {
  for (const AttemptName& known : kAttemptNames) {
    if (known.it == it) {
      return known.name;
    }
  }
  return "";
}

VersionClient::VersionClient(Loop* loop,
                             std::string name,
                             std::vector<Address> gateways,
                             std::uint64_t seed,
                             DecidedHandler on_decided)
    : loop_(loop),
      gateways_(std::move(gateways)),
      on_decided_(std::move(on_decided)),
      random_(seed) {
  stream_.name = std::move(name);
  stream_.size =
      static_cast<int>(kMinEvents + random_.Below(kMaxEvents - kMinEvents));
  stream_.own_deadlines = random_.Below(100) < kOwnDeadlinesPercent;
  stream_.names = DrawNames(&random_);
  RunEvery(loop_, kWatchPeriod, alive_, [this] { Watch(); });
  Send();
}

void VersionClient::Send() {
  const TimeUs now = Loop::Now();
  if (stream_.tries.empty() || stream_.own_deadlines) {
    deadline_ = now + kDeadline;
  }
  if (stream_.tries.size() >= kMaxTries || deadline_ - now < kMinLeft) {
    done_ = true;
    return;
  }
  VersionTry next;
  next.attempt = StrCat(stream_.name, "-", stream_.tries.size());
  next.gateway = static_cast<std::size_t>(random_.Below(gateways_.size()));
  next.sent_at = now;
  next.takes_up = !stream_.events.empty();
  const std::string head = HeadOf(next, deadline_ - now);
  const Address& gateway = gateways_[next.gateway];
  stream_.tries.push_back(std::move(next));
  read_ = 0;
  last_bytes_at_ = now;
  channel_ = std::make_unique<RawClient>(
      loop_, gateway, StrCat(head, "\r\n", stream_.name), [this] {
        // Not from inside the client's own callback.
        RunAfter(loop_, 0, alive_, [this] { EndTry(); });
      });
  channel_->SetBodyHandler([this] { ReadEvents(); });
}

std::string VersionClient::HeadOf(const VersionTry& it, DurationUs left) const {
  std::string head = StrCat(
      "POST /resumed/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n",
      "Content-Length: ", stream_.name.size(), "\r\nAttempt-Id: ", it.attempt,
      "\r\nDeadline-Ms: ", left / kMillisecond,
      "\r\nModel: m\r\nToken-Usage: 100,", stream_.size, "\r\n");
  if (!it.takes_up) {
    return head;
  }
  head += StrCat("Last-Event-Id: ", stream_.next - 1, "\r\n");
  const std::size_t first = stream_.events.front().at_try;
  switch (stream_.names) {
    case NamedAttempt::kFirst:
      return StrCat(head, "Resumes: ", stream_.tries[first].attempt, "\r\n");
    case NamedAttempt::kTakeUp:
      return StrCat(head, "Resumes: ", stream_.tries[last_take_up_].attempt,
                    "\r\n");
    case NamedAttempt::kUnknown:
      return StrCat(head, "Resumes: unknown-", stream_.name, "\r\n");
    case NamedAttempt::kNone:
      break;
  }
  return head;
}

void VersionClient::ReadEvents() {
  last_bytes_at_ = Loop::Now();
  const std::string& body = channel_->body();
  if (channel_->status() != kOk) {
    return;
  }
  for (std::size_t end = 0;
       (end = body.find("\n\n", read_)) != std::string::npos;) {
    ReadEvent(std::string_view(body).substr(read_, end - read_));
    read_ = end + 2;
  }
}

// "id: 3", and on the next line "data: v1 ATTEMPT".
void VersionClient::ReadEvent(std::string_view text) {
  const std::string& attempt = stream_.tries.back().attempt;
  const auto problem = [&](std::string_view what) {
    stream_.problems.push_back(StrCat(what, " in ", attempt,
                                      ", not id: ", stream_.next, ": ",
                                      text.substr(0, text.find('\n'))));
  };
  const auto lines = Split(text, '\n');
  const auto words =
      lines.size() == 2 ? Split(lines[1], ' ') : std::vector<std::string>();
  if (words.size() != 3 || !lines[0].starts_with("id: ")) {
    problem("an event is misshaped");
    return;
  }
  if (words[2] != attempt) {
    problem("an event of another attempt");
  }
  const int n = ParseNumber<int>(lines[0].substr(4)).value_or(-1);
  if (n != stream_.next) {
    problem(n < stream_.next ? "an event is doubled" : "an event is missing");
  }
  stream_.next = std::max(stream_.next, n + 1);
  stream_.events.push_back({words[1], stream_.tries.size() - 1, Loop::Now()});
  last_take_up_ = stream_.tries.size() - 1;
  stream_.tries.back().went_on = true;
  Decide();
}

void VersionClient::Decide() {
  VersionTry& it = stream_.tries.back();
  if (!std::exchange(it.decided, true)) {
    if (!it.went_on) {
      it.refusal = RefusalOf(channel_->status(), channel_->body());
    }
    on_decided_(stream_, it);
  }
}

void VersionClient::Watch() {
  const TimeUs now = Loop::Now();
  if (channel_ != nullptr &&
      (now - last_bytes_at_ > kMaxPause || now > deadline_)) {
    EndTry();
  }
}

void VersionClient::EndTry() {
  if (channel_ == nullptr) {
    return;
  }
  const bool stated_end = channel_->ended() && channel_->status() == kOk &&
                          channel_->end() != AnswerEnd::kBroken;
  if (stated_end && !stream_.whole()) {
    stream_.problems.push_back(StrCat("the answer to ",
                                      stream_.tries.back().attempt,
                                      " ends as complete after ", stream_.next,
                                      " of ", stream_.size, " events"));
  }
  Decide();
  channel_.reset();
  done_ = stream_.whole();
  if (!done_) {
    Wait();
  }
}

void VersionClient::Wait() {
  const DurationUs most = random_.Below(2) == 0 ? kBriefDelay : kMaxDelay;
  const DurationUs delay =
      kMinDelay + static_cast<DurationUs>(random_.Below(
                      static_cast<std::uint64_t>(most - kMinDelay)));
  RunAfter(loop_, delay, alive_, [this] { Send(); });
}

}  // namespace acaciachute
