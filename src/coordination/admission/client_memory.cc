#include "coordination/admission/client_memory.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace acaciachute {
namespace {

// Relief goes on until this share of the limit is held, so that not each
// further byte looks through all holders.
constexpr double kRelievedShare = 0.9;
// Shortest stall that is told from none.
constexpr DurationUs kMinStall = kMillisecond;

}  // namespace

void ClientMemory::Add(MemoryHolder* holder, TimeUs now) {
  holder->key_ = next_key_++;
  holder->progress_at_ = now;
  holders_[holder->key_] = holder;
}

void ClientMemory::Remove(MemoryHolder* holder) {
  held_ -= std::exchange(holder->held_, 0);
  holders_.erase(holder->key_);
}

void ClientMemory::SetHeld(MemoryHolder* holder, std::size_t bytes) {
  held_ += bytes - std::exchange(holder->held_, bytes);
  if (IsShort() && ask_ && !std::exchange(asked_, true)) {
    ask_();
  }
}

void ClientMemory::Relieve(TimeUs now) {
  asked_ = false;
  if (!IsShort()) {
    return;
  }
  struct Candidate {
    double cost = 0;  // Byte-seconds without progress.
    std::uint64_t key = 0;
  };
  std::vector<Candidate> candidates;
  candidates.reserve(holders_.size());
  for (const auto& [key, holder] : holders_) {
    if (holder->held_ > 0) {
      candidates.push_back(
          {static_cast<double>(holder->held_) *
               static_cast<double>(std::max(kMinStall, Stalled(*holder, now))),
           key});
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::pair(b.cost, a.key) < std::pair(a.cost, b.key);
            });
  const auto relieved =
      static_cast<std::size_t>(kRelievedShare * static_cast<double>(limit_));
  for (const Candidate& candidate : candidates) {
    if (held_ <= relieved) {
      break;
    }
    const auto it = holders_.find(candidate.key);
    if (it == holders_.end()) {
      continue;  // It ended with one before it.
    }
    Relief relief;
    relief.held = it->second->held_;
    relief.stalled = Stalled(*it->second, now);
    relief.how = it->second->GiveWay();
    relief.sum = held_;
    relief.limit = limit_;
    if (relief.how != GaveWay::kNothing && on_relief_) {
      on_relief_(relief);
    }
  }
}

}  // namespace acaciachute
