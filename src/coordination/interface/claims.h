// Lets a non-idempotent request run at most once, whichever entry it and its
// copies reach.
//
// Before any stage may run, a row of (account, key) is inserted conditionally.
// The holder runs; every other copy waits for the holder's stored answer, or
// says that the request may have run, and never runs. The row is written again
// when the request ends, so that a lost answer can be asked for.
#ifndef ACACIACHUTE_SRC_COORDINATION_INTERFACE_CLAIMS_H_
#define ACACIACHUTE_SRC_COORDINATION_INTERFACE_CLAIMS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "coordination/interface/caller.h"
#include "coordination/interface/store_calls.h"
#include "state/metrics.h"
#include "state/random.h"
#include "types.h"

namespace acaciachute {

struct ClaimSubject {
  RequestId id;
  std::string account;
  std::string key;
  std::uint64_t body_hash = 0;
};

// Told to the entry, from within calls too.
class ClaimEvents {
 public:
  virtual ~ClaimEvents() = default;
  // The claim stands and nothing has run under it: the request may run.
  virtual void OnClaimHeld(TimeUs now, RequestId id) = 0;
  // Another copy holds the claim and may run; this one waits for its answer.
  virtual void OnClaimElsewhere(TimeUs now, RequestId id) = 0;
  // The request ends with `answer` and is forgotten here.
  virtual void OnClaimAnswer(TimeUs now, RequestId id, CallerAnswer answer) = 0;
  virtual void OnClaimStatus(CallerHandle handle, CallerAnswer answer) = 0;
};

// What the entry needs of claims. A test shows by another implementation that
// the proof of at most once rests on them.
class ClaimKeeper {
 public:
  virtual ~ClaimKeeper() = default;
  virtual void Take(TimeUs now, const ClaimSubject& subject) = 0;
  // The request ended here and its caller was told `answer`.
  virtual void End(TimeUs now, RequestId id, const CallerAnswer& answer) = 0;
  // What became of a request.
  virtual void Ask(TimeUs now,
                   CallerHandle handle,
                   std::string_view account,
                   std::string_view key) = 0;
  virtual void OnTick(TimeUs now) = 0;
  virtual TimeUs NextWakeup() const = 0;
  // Outcomes that are not yet known to stand in the table.
  virtual std::size_t Unsettled() const = 0;
};

struct ClaimOptions {
  NodeId node;
  Incarnation incarnation = 0;
  double transactions_per_second = 100;  // This entry's share of the table's.
};

class Claims : public ClaimKeeper {
 public:
  // `events` is told of outcomes; all pointers outlive this object.
  Claims(ClaimOptions options,
         StoreCalls* calls,
         ClaimEvents* events,
         Random* random,
         Metrics* metrics);
  ~Claims() override;

  void Take(TimeUs now, const ClaimSubject& subject) override;
  void End(TimeUs now, RequestId id, const CallerAnswer& answer) override;
  void Ask(TimeUs now,
           CallerHandle handle,
           std::string_view account,
           std::string_view key) override;
  void OnTick(TimeUs now) override;
  TimeUs NextWakeup() const override;
  std::size_t Unsettled() const override;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_INTERFACE_CLAIMS_H_
