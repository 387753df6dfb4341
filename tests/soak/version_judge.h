// Judges what clients of long streams got: that each stream is of one software
// version and whole as far as it goes, and how many of those that were taken up
// went on.
#ifndef ACACIACHUTE_TESTS_SOAK_VERSION_JUDGE_H_
#define ACACIACHUTE_TESTS_SOAK_VERSION_JUDGE_H_

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "tests/soak/version_client.h"
#include "types.h"

namespace acaciachute {

class VersionJudge {
 public:
  explicit VersionJudge(TimeUs start) : start_(start) {}

  // What held from 5 s before a try, or from the begin of its stream, until it
  // was decided.
  struct Truth {
    bool calm = false;    // No gateway was harmed.
    bool served = false;  // Two replicas of its version served, ready all the
                          // while at the route's service.
    bool wrote = false;   // As `served`; they may have been leaving.
  };
  static constexpr DurationUs kCalmTime = 5 * kSecond;

  // Something is done to the fleet, from `begin` to `end`.
  void OnFault(TimeUs begin, TimeUs end, std::string_view kind) {
    faults_.push_back({begin, end, std::string(kind)});
  }
  // A try of the stream brought its first event or ended without one.
  void OnDecided(const VersionStream& stream,
                 const VersionTry& attempt,
                 const Truth& truth);
  // Nothing more of the stream will come.
  void OnEnded(const VersionStream& stream);

  std::vector<std::string> Violations() const;
  std::string Summary() const;
  // Streams and tries by what happened since their stream began.
  std::vector<std::string> Figures() const;

 private:
  struct Share {
    int asked = 0;
    int went_on = 0;
    std::string Text() const;
  };
  struct Counts {
    int streams = 0;
    int mixed = 0;
    Share taken_up;
  };

  struct Fault {
    TimeUs begin = 0;
    TimeUs end = 0;
    std::string kind;
  };

  // The kinds of faults from `since` to `until`.
  std::set<std::string> KindsIn(TimeUs since, TimeUs until) const;
  std::string MixedText(const VersionStream& stream) const;

  const TimeUs start_;
  std::vector<Fault> faults_;
  std::vector<std::string> violations_;
  std::map<std::string, Counts> by_kind_;
  std::map<std::string, int> refusals_;  // Of streams that were taken up.
  Counts all_;
  int begun_ = 0;
  int whole_ = 0;
  int mixed_within_one_ = 0;
  // Of calm times: new streams; first tries to take up at versions that served
  // all the while, ready or not.
  Share new_;
  Share served_;
  Share wrote_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_SOAK_VERSION_JUDGE_H_
