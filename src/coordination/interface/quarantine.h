// Requests that crash the upstreams that run them.
//
// Load pattern: one request ends each upstream it reaches, and its caller sends
// it again, through another entry and a new connection. Without a quarantine
// each try costs a replica and everything in progress there: at nine replicas a
// pool is gone in nine tries.
//
// A crash makes every request in progress a suspect, as it cannot tell which
// one did it. Suspects run apart, each alone at an upstream that has not
// crashed under it yet; what answers there is cleared, what crashes there too
// is convicted and refused everywhere. So no request is convicted for the
// company it was in, and a caller that waits for its answer before it sends
// again costs two replicas. Of copies sent at once, before the first crash is
// known (one way through the network), each may cost two.
//
// Records spread with heartbeats. Clearing one raises its epoch; the higher
// epoch wins, within one the worse standing, and crashes are joined, so nodes
// agree in whatever order they hear. A record is about one request in one pool:
// a request that passes the encoders unharmed may yet crash every generator.
#ifndef ACACIACHUTE_SRC_COORDINATION_INTERFACE_QUARANTINE_H_
#define ACACIACHUTE_SRC_COORDINATION_INTERFACE_QUARANTINE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "messages.h"
#include "types.h"

namespace acaciachute {

// Names a request of `account` in `pool`, the same at every node. Never zero.
std::uint64_t StageFingerprint(std::string_view account,
                               std::string_view body,
                               std::string_view pool);

// Sixteen hex digits, as operators see and type it.
std::string FingerprintText(std::uint64_t fingerprint);

class Quarantine {
 public:
  // A conviction ends by itself: the engine that it crashed is mended or
  // replaced by then, or the next two tries convict it again.
  static constexpr DurationUs kConvictedFor = 3600 * kSecond;
  // Long enough for a caller's resends, which come within minutes.
  static constexpr DurationUs kSuspectFor = 600 * kSecond;
  // Records kept, under 200 bytes each. A crash adds at most a batch of them,
  // so that is more than a hundred crashes within the hour.
  static constexpr std::size_t kMost = 4096;
  // Records told in one heartbeat, under 2 KB: half of them the newest, the
  // rest in turn, so that a node that starts late hears of all.
  static constexpr std::size_t kTold = 16;

  struct Suspect {
    std::uint64_t fingerprint = 0;
    std::string account;
  };

  QuarantineState Of(TimeUs now, std::uint64_t fingerprint) const;
  // Upstreams that crashed with the request in progress.
  std::vector<NodeId> CrashedAt(std::uint64_t fingerprint) const;

  // What a caller or an operator is told of a conviction.
  std::string Explain(std::uint64_t fingerprint) const;

  // The upstream at `node` died with `in_progress`, which may name a request
  // twice, and nothing else.
  void OnCrash(TimeUs now,
               const NodeId& node,
               const std::vector<Suspect>& in_progress);
  // It ran alone and answered.
  void OnAnsweredApart(TimeUs now, std::uint64_t fingerprint);
  // An operator's word. False when there is no such conviction or suspicion.
  bool Lift(TimeUs now, std::uint64_t fingerprint);

  // Takes over what another node knows better; true when that changed anything.
  bool Merge(TimeUs now, const std::vector<QuarantineRecord>& records);
  // What the next heartbeat tells.
  std::vector<QuarantineRecord> Told(TimeUs now);
  // One record as it stands, for the failure that tells of a crash.
  std::vector<QuarantineRecord> RecordOf(TimeUs now,
                                         std::uint64_t fingerprint) const;
  // Suspects and convicts, for operators.
  std::vector<QuarantineRecord> All(TimeUs now) const;
  std::size_t size() const { return records_.size(); }

 private:
  struct Entry {
    std::uint32_t epoch = 0;
    QuarantineState quarantine_state = QuarantineState::kClear;
    TimeUs changed_at = 0;
    std::string account;
    std::vector<NodeId> crashed_at;
  };
  static bool IsOver(TimeUs now, const Entry& entry);
  static QuarantineRecord ToRecord(TimeUs now,
                                   std::uint64_t fingerprint,
                                   const Entry& entry);
  Entry& Touch(TimeUs now, std::uint64_t fingerprint);
  void Clear(TimeUs now, std::uint64_t fingerprint);
  void Blame(TimeUs now,
             const NodeId& node,
             const Suspect& suspect,
             bool alone);
  void MakeRoom(TimeUs now);

  std::map<std::uint64_t, Entry> records_;
  std::uint64_t told_last_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_INTERFACE_QUARANTINE_H_
