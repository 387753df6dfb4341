#include "protocol/frame.h"

#include <glib.h>

#include <algorithm>
#include <array>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstring>
#include <sstream>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "protocol/frame_reader.h"

namespace acaciachute {

template <class A>
void serialize(A& a, RequestId& v) {
  a(v.origin, v.sequence);
}
template <class A>
void serialize(A& a, StageKey& v) {
  a(v.request, v.stage, v.attempt);
}
template <class A>
void serialize(A& a, LoadReport& v) {
  a(v.queued, v.in_progress, v.urgent, v.limit, v.service_us);
}
template <class A>
void serialize(A& a, QuarantineRecord& v) {
  a(v.fingerprint, v.epoch, v.quarantine_state, v.age, v.account, v.crashed_at);
}
template <class A>
void serialize(A& a, StageCall& v) {
  a(v.key, v.sidecar, v.caller_class, v.kind, v.idempotent, v.stream,
    v.time_left, v.sent_at, v.expected_service, v.fingerprint, v.quarantined,
    v.account, v.path, v.body, v.traceparent);
}
template <class A>
void serialize(A& a, StageCancel& v) {
  a(v.key, v.sidecar, v.time_left);
}
template <class A>
void serialize(A& a, StageChunk& v) {
  a(v.key, v.sidecar, v.sequence, v.last, v.service, v.body);
}
template <class A>
void serialize(A& a, StageFailure& v) {
  a(v.key, v.sidecar, v.verdict, v.reason, v.retry_after, v.crashed,
    v.quarantined);
}
template <class A>
void serialize(A& a, BranchVersion& v) {
  a(v.branch, v.version);
}
template <class A>
void serialize(A& a, WitnessAge& v) {
  a(v.witness, v.age);
}
template <class A>
void serialize(A& a, SettingsDigest& v) {
  a(v.hash, v.sum, v.proof_age, v.established, v.witnesses);
}
template <class A>
void serialize(A& a, Heartbeat& v) {
  a(v.role, v.state, v.sequence, v.reply_to, v.sent_at, v.receiver_leaving,
    v.load, v.fence, v.settings, v.quarantined);
}
template <class A>
void serialize(A& a, ReachQuery& v) {
  a(v.sidecar);
}
template <class A>
void serialize(A& a, ReachReport& v) {
  a(v.sidecar, v.incarnation);
}
template <class A>
void serialize(A& a, SettingsPull& v) {
  a(v.sequence, v.known);
}
template <class A>
void serialize(A& a, BranchBody& v) {
  a(v.branch, v.version, v.json);
}
template <class A>
void serialize(A& a, SettingsBodies& v) {
  a(v.reply_to, v.last, v.digest, v.bodies);
}
template <class A>
void serialize(A& a, ControlOrder& v) {
  a(v.order_id, v.sidecar, v.kind, v.fence, v.model, v.model_version);
}
template <class A>
void serialize(A& a, ControlOrderResult& v) {
  a(v.order_id, v.reason, v.fence);
}
template <class A>
void serialize(A& a, Address& v) {
  a(v.ip, v.port);
}
template <class A>
void serialize(A& a, EngineWork& v) {
  a(v.replica, v.incarnation, v.running, v.unread_tokens);
}
template <class A>
void serialize(A& a, QueueWait& v) {
  a(v.in_time, v.late, v.memory);
}
template <class A>
void serialize(A& a, ServiceQueueWait& v) {
  a(v.service, v.wait);
}
template <class A>
void serialize(A& a, ReplicaRateStatement& v) {
  a(v.replica, v.incarnation, v.limited, v.per_second, v.age);
}
template <class A>
void serialize(A& a, ReplicaLeavingStatement& v) {
  a(v.replica, v.incarnation, v.age);
}
template <class A>
void serialize(A& a, AccountUse& v) {
  a(v.account, v.admitted);
}
template <class A>
void serialize(A& a, PoolUse& v) {
  a(v.pool, v.window, v.scarce, v.answers, v.accounts);
}
template <class A>
void serialize(A& a, ReplicaPace& v) {
  a(v.replica, v.crowded, v.answers, v.percent, v.age_ms);
}
template <class A>
void serialize(A& a, GatewayHeartbeat& v) {
  a(v.address, v.leaving, v.can_check_keys, v.config_version, v.cores, v.domain,
    v.period, v.requests_reply, v.work, v.waits, v.rates, v.leaving_replicas,
    v.pool_use, v.paces);
}
template <class A>
void serialize(A& a, PieceKey& v) {
  a(v.request, v.stage, v.piece);
}
template <class A>
void serialize(A& a, PieceTask& v) {
  a(v.key, v.service, v.source, v.time_left, v.time_to_begin, v.waited,
    v.holds_bytes, v.priority, v.result_bytes, v.sole_users, v.send,
    v.earns_retries, v.near_domain);
}
// The lists of inputs come first, each one once, then the tasks, then the
// number of each task's list.
template <class A>
void CEREAL_SAVE_FUNCTION_NAME(A& a, const PieceTasks& v) {
  std::vector<PieceInputs> lists;
  std::vector<std::uint32_t> numbers;
  for (const PieceTask& it : v.tasks) {
    auto known = std::find_if(
        lists.begin(), lists.end(),
        [&](const PieceInputs& list) { return list.IsSame(it.inputs); });
    if (known == lists.end()) {
      known = lists.insert(known, it.inputs);
    }
    numbers.push_back(static_cast<std::uint32_t>(known - lists.begin()));
  }
  a(cereal::make_size_tag(static_cast<cereal::size_type>(lists.size())));
  for (const PieceInputs& it : lists) {
    a(it.list());
  }
  a(v.tasks, numbers);
}
template <class A>
void CEREAL_LOAD_FUNCTION_NAME(A& a, PieceTasks& v) {
  cereal::size_type count = 0;
  a(cereal::make_size_tag(count));
  std::vector<PieceInputs> lists;
  for (; count > 0; --count) {
    PieceInputs::List list;
    a(list);
    lists.emplace_back(std::move(list));
  }
  std::vector<std::uint32_t> numbers;
  a(v.tasks, numbers);
  if (numbers.size() != v.tasks.size()) {
    throw cereal::Exception("tasks without a list of inputs");
  }
  for (std::size_t n = 0; n < numbers.size(); ++n) {
    if (numbers[n] >= lists.size()) {
      throw cereal::Exception("unknown list of inputs");
    }
    v.tasks[n].inputs = lists[numbers[n]];
  }
}
template <class A>
void serialize(A& a, PieceCancel& v) {
  a(v.request, v.stage);
}
template <class A>
void serialize(A& a, PieceRelease& v) {
  a(v.handles);
}
template <class A>
void serialize(A& a, PieceResult& v) {
  a(v.key, v.outcome, v.handle);
}
template <class A>
void serialize(A& a, PieceResults& v) {
  a(v.results);
}
template <class A>
void serialize(A& a, RowPart& v) {
  a(v.name, v.text, v.removed);
}
template <class A>
void serialize(A& a, SplitRowPosition& v) {
  a(v.version, v.page_base, v.page_version, v.last_part);
}
template <class A>
void serialize(A& a, SplitRowPage& v) {
  a(v.base, v.version, v.continues, v.truncated, v.last_part, v.parts);
}
template <class A>
void serialize(A& a, TableRequest& v) {
  a(v.table, v.sequence, v.complete_table, v.after, v.wait, v.age, v.split_row);
}
template <class A>
void serialize(A& a, TableRow& v) {
  a(v.key, v.value, v.version, v.removed);
}
template <class A>
void serialize(A& a, TableAnswer& v) {
  a(v.kind, v.rows, v.truncated, v.version, v.why, v.split_row, v.known_after);
}
template <class A>
void serialize(A& a, TableReply& v) {
  a(v.table, v.sequence, v.answer);
}
template <class A>
void serialize(A& a, CrashCause& v) {
  a(v.kind, v.id);
}
template <class A>
void serialize(A& a, CrashSuspect& v) {
  a(v.cause, v.account, v.began_age, v.cleared_age, v.tried);
}
template <class A>
void serialize(A& a, CrashEnd& v) {
  a(v.replica, v.incarnation, v.age, v.suspects);
}
template <class A>
void serialize(A& a, ClearedCause& v) {
  a(v.cause, v.age);
}
template <class A>
void serialize(A& a, CrashReport& v) {
  a(v.ends, v.cleared);
}
template <class A>
void serialize(A&, FormerCrashRecords&) {}
template <class A>
void serialize(A& a, StreamOrigin& v) {
  a(v.attempt, v.account, v.service, v.version, v.age);
}
template <class A>
void serialize(A& a, StreamOriginReport& v) {
  a(v.streams);
}
template <class A>
void serialize(A& a, StreamOriginQuery& v) {
  a(v.request, v.attempt, v.account);
}
template <class A>
void serialize(A& a, StreamOriginAnswer& v) {
  a(v.request, v.origins);
}
template <class A>
void serialize(A& a, ServiceVersionReport::Item& v) {
  a(v.version.service, v.version.version, v.recorded);
}
template <class A>
void serialize(A& a, ServiceVersionReport& v) {
  a(v.versions);
}
template <class A>
void serialize(A& a, RateTurns& v) {
  a(v.replica, v.incarnation, v.count);
}
template <class A>
void serialize(A& a, RateLoanRequest& v) {
  a(v.asked_at, v.wanted);
}
template <class A>
void serialize(A& a, RateLoan& v) {
  a(v.asked_at, v.lent);
}
template <class A>
void serialize(A& a, RateLoanReturn& v) {
  a(v.asked_at, v.unused);
}
template <class A>
void serialize(A& a, CrashTrialRequest& v) {
  a(v.cause, v.copy);
}
template <class A>
void serialize(A& a, CrashTrialGrant& v) {
  a(v.cause, v.copy, v.alone);
}
template <class A>
void serialize(A& a, CrashTrialEnd& v) {
  a(v.cause, v.copy, v.sent, v.answered, v.begun);
}
template <class A>
void serialize(A& a, Envelope& v) {
  a(v.sender, v.incarnation, v.sequence, v.message);
}

namespace {

// "AC", the version of the frame format, which changes with the layout of any
// message, and a reserved byte.
constexpr std::array<char, 4> kMagic = {'A', 'C', 11, 0};
constexpr std::size_t kHmacSize = 32;  // HMAC-SHA-256.
constexpr std::size_t kMinFrameBytes = kFramePrefixSize + kHmacSize;

std::string ComputeHmac(std::string_view data, std::string_view key) {
  GHmac* hmac =
      g_hmac_new(G_CHECKSUM_SHA256, reinterpret_cast<const guchar*>(key.data()),
                 key.size());
  g_hmac_update(hmac, reinterpret_cast<const guchar*>(data.data()),
                static_cast<gssize>(data.size()));
  std::string out(kHmacSize, '\0');
  gsize n = out.size();
  g_hmac_get_digest(hmac, reinterpret_cast<guint8*>(out.data()), &n);
  g_hmac_unref(hmac);
  return out;
}

// Takes the same time wherever the bytes differ, so that timing does not help
// to forge a hash.
bool EqualInConstantTime(std::string_view a, std::string_view b) {
  unsigned char diff = a.size() == b.size() ? 0 : 1;
  for (std::size_t n = 0; n < a.size() && n < b.size(); ++n) {
    diff |= static_cast<unsigned char>(a[n] ^ b[n]);
  }
  return diff == 0;
}

}  // namespace

std::string EncodeFrame(const Envelope& envelope, std::string_view key) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(envelope);
  }
  const std::string body = stream.str();
  const auto size =
      static_cast<std::uint32_t>(kFramePrefixSize + body.size() + kHmacSize);
  std::string frame(kMagic.data(), kMagic.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame.push_back(static_cast<char>(size >> shift));
  }
  frame += body;
  frame += ComputeHmac(frame, key);
  return frame;
}

absl::StatusOr<std::size_t> FrameSize(std::string_view prefix) {
  if (prefix.size() < kFramePrefixSize) {
    return absl::InvalidArgumentError("frame: prefix is truncated");
  }
  if (std::memcmp(prefix.data(), kMagic.data(), kMagic.size()) != 0) {
    return absl::InvalidArgumentError("frame: wrong magic or version");
  }
  std::size_t size = 0;
  for (std::size_t n = kMagic.size(); n < kFramePrefixSize; ++n) {
    size = size << 8 | static_cast<unsigned char>(prefix[n]);
  }
  if (size < kMinFrameBytes || size > kMaxFrameSize) {
    return absl::InvalidArgumentError(
        "frame: length outside the allowed range");
  }
  return size;
}

absl::StatusOr<Envelope> DecodeFrame(std::string_view frame,
                                     std::string_view key) {
  const auto size = FrameSize(frame);
  if (!size.ok()) {
    return size.status();
  }
  if (*size != frame.size()) {
    return absl::InvalidArgumentError("frame: length differs from the prefix");
  }
  const auto signed_part = frame.substr(0, frame.size() - kHmacSize);
  if (!EqualInConstantTime(ComputeHmac(signed_part, key),
                           frame.substr(signed_part.size()))) {
    return absl::UnauthenticatedError("frame: HMAC does not match");
  }
  Envelope envelope;
  try {
    FrameReader reader(signed_part.substr(kFramePrefixSize));
    reader(envelope);
  } catch (const std::exception&) {
    // The HMAC is valid, so the sender is a process of another build.
    return absl::InvalidArgumentError("frame: malformed message");
  }
  return envelope;
}

}  // namespace acaciachute
