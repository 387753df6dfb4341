// Fits the time that work takes at the replicas of one service to the load that
// it finds there: recursive least squares with exponential forgetting (Ljung,
// "System Identification", section 11.2).
#ifndef ACACIACHUTE_SRC_COORDINATION_CHOICE_WORK_FIT_H_
#define ACACIACHUTE_SRC_COORDINATION_CHOICE_WORK_FIT_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace acaciachute {

// What a request finds at a replica when it is sent there.
struct ReplicaWork {
  double unread_tokens = 0;  // Of prompts that the replica reads first.
  double read_tokens = 0;    // Of this request's prompt, to be read.
  double in_progress = 0;    // Requests running and waiting.
  double slots = 1;

  double Share() const { return in_progress < slots ? in_progress / slots : 1; }
};

class WorkFit {
 public:
  static constexpr std::size_t kTerms = 5;
  using Terms = std::array<double, kTerms>;

  // Costs in milliseconds, of: each request; a thousand unread tokens; a
  // thousand tokens read; all slots in use; as many requests waiting as there
  // are slots. `spread`: how far the true costs may be from `start`.
  WorkFit(const Terms& start, const Terms& spread);

  // Expected time in milliseconds, positive.
  double Predict(const ReplicaWork& work) const;
  void Add(const ReplicaWork& work, double ms);
  std::uint64_t observations() const { return observations_; }
  // Cost of reading a thousand tokens, in milliseconds.
  double ReadCost() const;

 private:
  // Weight of an observation after one more; a few hundred count.
  static constexpr double kForgetting = 0.997;
  // Residuals count up to so many times the usual deviation.
  static constexpr double kMaxDeviations = 4;
  static constexpr double kDeviationWeight = 0.02;

  static Terms TermsOf(const ReplicaWork& work);
  double Sum(const Terms& terms) const;
  void Forget();

  // No work makes other work faster, and a load that hardly occurs is not free.
  static constexpr double kLeastShareOfStart = 1.0 / 8;

  double CostOf(std::size_t term) const;

  Terms costs_;
  Terms start_;
  Terms spread_;
  std::array<Terms, kTerms> covariance_{};
  double deviation_ = 0;  // Moving average of absolute residuals.
  std::uint64_t observations_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CHOICE_WORK_FIT_H_
