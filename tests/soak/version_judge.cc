#include "tests/soak/version_judge.h"

#include <algorithm>

#include "text.h"

namespace acaciachute {
namespace {

// The users' rule on streams that are taken up.
constexpr int kMinJudged = 12;
constexpr double kMinShareOfNew = 0.5;
constexpr char kUndisturbed[] = "nothing";

}  // namespace

std::string VersionJudge::Share::Text() const {
  return StrCat(went_on, " of ", asked);
}

std::set<std::string> VersionJudge::KindsIn(TimeUs since, TimeUs until) const {
  std::set<std::string> out;
  for (const Fault& it : faults_) {
    if (it.end >= since && it.begin <= until) {
      out.insert(it.kind);
    }
  }
  if (out.empty()) {
    out.insert(kUndisturbed);
  }
  return out;
}

void VersionJudge::OnDecided(const VersionStream& stream,
                             const VersionTry& attempt,
                             const Truth& truth) {
  const auto count = [&](Share* it) {
    ++it->asked;
    it->went_on += attempt.went_on ? 1 : 0;
  };
  if (!attempt.takes_up) {
    if (truth.calm) {
      count(&new_);
    }
    return;
  }
  count(&all_.taken_up);
  const TimeUs begun_at = stream.tries.front().sent_at;
  for (const auto& kind : KindsIn(begun_at, attempt.sent_at)) {
    count(&by_kind_[kind].taken_up);
  }
  if (!attempt.went_on) {
    ++refusals_[attempt.refusal];
  }
  const auto taken_up =
      std::count_if(stream.tries.begin(), stream.tries.end(),
                    [](const VersionTry& it) { return it.takes_up; });
  if (taken_up > 1 || stream.names != NamedAttempt::kFirst || !truth.calm) {
    return;
  }
  if (truth.served) {
    count(&served_);
  }
  if (truth.wrote) {
    count(&wrote_);
  }
}

void VersionJudge::OnEnded(const VersionStream& stream) {
  ++all_.streams;
  begun_ += stream.events.empty() ? 0 : 1;
  whole_ += stream.whole() ? 1 : 0;
  for (const auto& it : stream.problems) {
    violations_.push_back(StrCat(stream.name, ": ", it));
  }
  if (stream.events.empty()) {
    return;
  }
  const auto other = std::find_if(
      stream.events.begin(), stream.events.end(), [&](const VersionEvent& it) {
        return it.version != stream.events.front().version;
      });
  const bool mixed = other != stream.events.end();
  const TimeUs until = mixed ? other->at : stream.events.back().at;
  for (const auto& kind : KindsIn(stream.tries.front().sent_at, until)) {
    ++by_kind_[kind].streams;
    by_kind_[kind].mixed += mixed ? 1 : 0;
  }
  if (mixed) {
    ++all_.mixed;
    mixed_within_one_ += other->at_try == (other - 1)->at_try ? 1 : 0;
    violations_.push_back(MixedText(stream));
  }
}

// Each run of events of one version in one answer, and what happened meanwhile.
std::string VersionJudge::MixedText(const VersionStream& stream) const {
  std::string out = StrCat(
      stream.name, " holds events of several versions, ",
      stream.own_deadlines ? "deadlines of its tries' own" : "one deadline",
      ", resumes ", NameOf(stream.names), ":");
  const VersionEvent* before = nullptr;
  bool within_one = false;
  for (const VersionEvent& it : stream.events) {
    const bool same_try = before != nullptr && before->at_try == it.at_try;
    if (!same_try || before->version != it.version) {
      const VersionTry& attempt = stream.tries[it.at_try];
      out += StrCat(" ", it.version, " (", attempt.attempt, " at front-",
                    attempt.gateway, ", ", (it.at - start_) / kMillisecond,
                    " ms)");
      within_one = within_one || same_try;
    }
    before = &it;
  }
  out += within_one ? "; within one answer" : "; over several tries";
  const TimeUs until = stream.events.back().at;
  for (const auto& kind : KindsIn(stream.tries.front().sent_at, until)) {
    out += StrCat("; ", kind);
  }
  return out;
}

std::vector<std::string> VersionJudge::Violations() const {
  std::vector<std::string> out = violations_;
  const double share = new_.asked == 0 ? 1.0 : 1.0 * new_.went_on / new_.asked;
  if (served_.asked >= kMinJudged &&
      served_.went_on < kMinShareOfNew * share * served_.asked) {
    out.push_back(StrCat(
        "taken up where two replicas of the version served: ", served_.Text(),
        " went on; new ones: ", new_.Text(), " began"));
  }
  return out;
}

std::string VersionJudge::Summary() const {
  return StrCat("streams=", all_.streams, " begun=", begun_, " whole=", whole_,
                " mixed=", all_.mixed, " (", mixed_within_one_,
                " within one answer) taken_up=", all_.taken_up.asked,
                " went_on=", all_.taken_up.went_on);
}

std::vector<std::string> VersionJudge::Figures() const {
  std::vector<std::string> out;
  for (const auto& [kind, it] : by_kind_) {
    out.push_back(StrCat(kind, ": streams=", it.streams, " mixed=", it.mixed,
                         " taken_up=", it.taken_up.asked,
                         " went_on=", it.taken_up.went_on));
  }
  for (const auto& [refusal, n] : refusals_) {
    out.push_back(StrCat("ended without an event: ", n, " of ", refusal));
  }
  out.push_back(StrCat("in calm times: new ", new_.Text(), "; taken up first, ",
                       "two replicas of the version ready: ", served_.Text(),
                       ", serving: ", wrote_.Text()));
  return out;
}

}  // namespace acaciachute
