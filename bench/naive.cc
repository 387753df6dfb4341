#include "bench/naive.h"

#include <cstdlib>
#include <vector>

namespace acaciachute::bench {
namespace {

// Time left that is sent to sidecars, so long that they neither drop nor
// reorder calls.
constexpr DurationUs kNoDeadline = 1000 * kSecond;

}  // namespace

void NaiveEntry::OnRequest(TimeUs now, const CallerRequest& call) {
  Request& request = requests_[next_sequence_];
  request.handle = call.handle;
  request.event = call.event;
  request.body = call.body;
  request.deadline = now + call.deadline;
  request.key.request = {incarnation_, next_sequence_++};
  deadlines_.emplace(request.deadline, request.key.request.sequence);
  Send(request);
}

NaiveEntry::Request* NaiveEntry::Find(const StageKey& key) {
  const auto it = requests_.find(key.request.sequence);
  return it != requests_.end() && it->second.key == key ? &it->second : nullptr;
}

void NaiveEntry::Send(Request& request) {
  const Stage& stage =
      settings_->FindEvent(request.event)->stages[request.key.stage];
  const Pool& pool = *settings_->FindPool(stage.pool);
  const std::size_t n = next_replica_[stage.pool]++ % pool.replicas.size();
  request.node = pool.replicas[n].node;
  ++request.key.attempt;
  StageCall call;
  call.key = request.key;
  call.kind = pool.kind;
  call.caller_class = CallerClass::kPatient;
  call.time_left = kNoDeadline;
  call.body = request.body;
  call.sidecar = kSidecarIncarnation;
  output_->Send(request.node, call);
}

void NaiveEntry::OnMessage(TimeUs now,
                           const NodeId& from,
                           const Message& message) {
  if (const auto* failure = std::get_if<StageFailure>(&message)) {
    if (Request* request = Find(failure->key)) {
      Retry(*request);
    }
    return;
  }
  const auto* chunk = std::get_if<StageChunk>(&message);
  Request* request = chunk == nullptr ? nullptr : Find(chunk->key);
  if (request == nullptr) {
    return;
  }
  request->body = chunk->body;
  request->tries = 0;
  if (++request->key.stage <
      settings_->FindEvent(request->event)->stages.size()) {
    Send(*request);
  } else {
    Finish(*request, Verdict::kAnswered, Refusal::kNone);
  }
}

void NaiveEntry::OnUnsent(TimeUs now, const NodeId& to, const Message& m) {
  const auto* call = std::get_if<StageCall>(&m);
  if (Request* request = call == nullptr ? nullptr : Find(call->key)) {
    Retry(*request);
  }
}

void NaiveEntry::OnPeerLost(TimeUs now, const NodeId& node) {
  std::vector<StageKey> affected;
  for (const auto& [unused, request] : requests_) {
    if (request.node == node) {
      affected.push_back(request.key);
    }
  }
  for (const StageKey& key : affected) {
    Retry(*Find(key));
  }
}

void NaiveEntry::OnTick(TimeUs now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const auto it = requests_.find(deadlines_.begin()->second);
    Finish(it->second, Verdict::kMayHaveRun, Refusal::kLate);
  }
}

void NaiveEntry::Retry(Request& request) {
  if (++request.tries < kMaxAttempts) {
    Send(request);
  } else {
    Finish(request, Verdict::kMayHaveRun, Refusal::kUpstreamFailed);
  }
}

void NaiveEntry::Finish(const Request& request,
                        Verdict verdict,
                        Refusal reason) {
  CallerAnswer answer;
  answer.verdict = verdict;
  answer.reason = reason;
  answer.retry_after = verdict == Verdict::kAnswered ? 0 : kSecond;
  const CallerHandle handle = request.handle;
  deadlines_.erase({request.deadline, request.key.request.sequence});
  requests_.erase(request.key.request.sequence);
  output_->Answer(handle, answer);
}

}  // namespace acaciachute::bench
