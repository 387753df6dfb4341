// Ensures that a non-idempotent request runs at most once, whichever entries
// receive copies of it.
//
// Before any stage may run, a row for (account, key) is inserted conditionally.
// The request that holds the claim runs; every other copy waits for the
// holder's stored answer, or is answered "may have run", and never runs. The
// row is updated when the request ends, so that a caller who lost the answer
// can retrieve it.
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

// Receives the results of claims, possibly from within calls to `ClaimKeeper`.
class ClaimEvents {
 public:
  virtual ~ClaimEvents() = default;
  // The claim is in the table and nothing has run under it: the request may
  // run.
  virtual void OnClaimHeld(TimeUs now, RequestId id) = 0;
  // Another copy holds the claim and may run; this copy waits for its answer.
  virtual void OnClaimHeldElsewhere(TimeUs now, RequestId id) = 0;
  // The request ends with `answer`, and the claim keeper has removed it.
  virtual void OnClaimAnswer(TimeUs now, RequestId id, CallerAnswer answer) = 0;
  virtual void OnClaimStatus(CallerHandle handle, CallerAnswer answer) = 0;
};

// Interface of claims to the entry. A test substitutes another implementation
// to show that the at-most-once guarantee depends on claims.
class ClaimKeeper {
 public:
  virtual ~ClaimKeeper() = default;
  virtual void Acquire(TimeUs now, const ClaimSubject& subject) = 0;
  // The request ended here, and `answer` was sent to its caller.
  virtual void End(TimeUs now, RequestId id, const CallerAnswer& answer) = 0;
  // Looks up the status of a request and reports it by `OnClaimStatus`.
  virtual void LookUpStatus(TimeUs now,
                            CallerHandle handle,
                            std::string_view account,
                            std::string_view key) = 0;
  virtual void OnTick(TimeUs now) = 0;
  virtual TimeUs NextWakeup() const = 0;
  // Number of outcomes that are not yet confirmed in the table.
  virtual std::size_t UnsettledOutcomes() const = 0;
};

struct ClaimOptions {
  NodeId node;
  Incarnation incarnation = 0;
  // This entry's share of the table's transaction rate.
  double transactions_per_second = 100;
};

class Claims : public ClaimKeeper {
 public:
  // `events` receives the results. All pointers must outlive this object.
  Claims(ClaimOptions options,
         StoreCalls* calls,
         ClaimEvents* events,
         Random* random,
         Metrics* metrics);
  ~Claims() override;

  void Acquire(TimeUs now, const ClaimSubject& subject) override;
  void End(TimeUs now, RequestId id, const CallerAnswer& answer) override;
  void LookUpStatus(TimeUs now,
                    CallerHandle handle,
                    std::string_view account,
                    std::string_view key) override;
  void OnTick(TimeUs now) override;
  TimeUs NextWakeup() const override;
  std::size_t UnsettledOutcomes() const override;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_INTERFACE_CLAIMS_H_
