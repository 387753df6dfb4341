// A request in progress at an entry, and the attempt of its current stage.
#ifndef ACACIACHUTE_SRC_COORDINATION_INTERFACE_ENTRY_REQUEST_H_
#define ACACIACHUTE_SRC_COORDINATION_INTERFACE_ENTRY_REQUEST_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/admission/load_control.h"
#include "coordination/interface/caller.h"
#include "state/settings.h"
#include "state/span.h"
#include "types.h"

namespace acaciachute::detail {

struct StageAttempt {
  StageKey key;
  NodeId node;
  Incarnation incarnation = 0;
  TimeUs sent_at = 0;
  std::uint64_t span = 0;
  // Chunks that came ahead of their turn, by number.
  std::map<std::uint32_t, std::string> early;
  std::uint32_t next_chunk = 0;
  std::optional<std::uint32_t> last_chunk;
  std::string answer;  // Chunks below `next_chunk`, joined.
  std::size_t bytes = 0;
  DurationUs service = 0;
};

struct EntryRequest {
  RequestId id;
  CallerRequest call;
  bool caller_gone = false;
  SettingsPtr settings;  // Those it was admitted under.
  std::shared_ptr<const Event> event;
  TimeUs arrived = 0;
  TimeUs deadline = 0;
  std::uint32_t stage = 0;
  std::uint32_t attempts = 0;
  std::vector<NodeId> tried;  // In the current stage.
  std::optional<StageAttempt> attempt;
  std::string input;  // Of the current stage.
  // Some stage was or may have been handed over, by this request or by another
  // copy of its key.
  bool may_have_run = false;
  std::string streamed;  // What the caller has been given of the last stage.
  std::vector<StageCost> cost;
  RequestLoad load;
  TraceContext trace;
  std::uint64_t parent_span = 0;

  bool InLastStage() const { return stage + 1 == event->stages.size(); }
  bool Streams() const { return call.stream && InLastStage(); }
};

}  // namespace acaciachute::detail

#endif  // ACACIACHUTE_SRC_COORDINATION_INTERFACE_ENTRY_REQUEST_H_
