// The work that is on its way to one queue: stages that their requests, in
// progress at earlier stages, have announced.
#ifndef ACACIACHUTE_SRC_COORDINATION_STAGES_COMING_WORK_H_
#define ACACIACHUTE_SRC_COORDINATION_STAGES_COMING_WORK_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "state/piece.h"
#include "types.h"

namespace acaciachute {

class ComingWork {
 public:
  // Announcements that are kept; more are passed over.
  static constexpr std::size_t kMaxEntries = 4096;
  // A stage that has not come after twice the announced time and this is no
  // longer expected: its request ended, or its pieces went elsewhere.
  static constexpr DurationUs kOverdueMargin = kSecond;

  // Longest time to which an announcement refers.
  static constexpr DurationUs kMaxTime = 60 * kSecond;

  struct Load {
    // Of each priority and the more urgent ones, in the unit of `Add`.
    std::array<double, QueueWait::kPriorityLevels> work{};
    // The work arrives evenly over about this time.
    DurationUs within = 0;
  };

  // `work`: of all pieces. Replaces what was announced of the stage.
  void Add(TimeUs now, const ComingPieces& coming, double work);
  // The stage has come.
  void Remove(const std::string& request, std::uint32_t stage);
  void RemoveRequest(const std::string& request);
  void RemoveExpired(TimeUs now);
  Load At(TimeUs now) const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::size_t level = 0;
    double work = 0;
    TimeUs due_at = 0;
    TimeUs expires_at = 0;
  };
  // By request and stage.
  std::map<std::pair<std::string, std::uint32_t>, Entry> entries_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STAGES_COMING_WORK_H_
