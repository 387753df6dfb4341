// A request in progress at an entry, and the attempt at its current stage.
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
  // Chunks that arrived ahead of a missing one, by sequence number.
  std::map<std::uint32_t, std::string> early_chunks;
  std::uint32_t next_chunk = 0;
  std::optional<std::uint32_t> last_chunk;
  std::string answer;  // Concatenation of the chunks below `next_chunk`.
  std::size_t bytes = 0;
  DurationUs service = 0;
};

struct EntryRequest {
  RequestId id;
  CallerRequest call;
  bool caller_gone = false;
  // Settings at the time of admission, used until the request ends.
  SettingsPtr settings;
  std::shared_ptr<const Event> event;
  TimeUs arrived = 0;
  TimeUs deadline = 0;
  std::uint32_t stage = 0;
  std::uint32_t attempts = 0;
  std::vector<NodeId> tried;  // Replicas already tried in the current stage.
  std::optional<StageAttempt> attempt;
  std::string input;  // Input of the current stage.
  // A stage was or may have been sent to an upstream, by this request or by
  // another copy under the same key.
  bool may_have_run = false;
  // Part of the last stage's answer that was sent to the caller.
  std::string streamed;
  std::vector<StageCost> cost;
  RequestLoad load;
  TraceContext trace;
  std::uint64_t parent_span = 0;

  bool InLastStage() const { return stage + 1 == event->stages.size(); }
  bool Streams() const { return call.stream && InLastStage(); }
};

}  // namespace acaciachute::detail

#endif  // ACACIACHUTE_SRC_COORDINATION_INTERFACE_ENTRY_REQUEST_H_
