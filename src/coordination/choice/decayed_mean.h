// A mean of observations whose weights decay exponentially with their age.
#ifndef ACACIACHUTE_SRC_COORDINATION_CHOICE_DECAYED_MEAN_H_
#define ACACIACHUTE_SRC_COORDINATION_CHOICE_DECAYED_MEAN_H_

#include <cmath>

#include "types.h"

namespace acaciachute {

class DecayedMean {
 public:
  // `decay_time`: the age at which a weight has fallen to 1/e.
  explicit DecayedMean(DurationUs decay_time) : decay_time_(decay_time) {}

  // Observations may be added out of order.
  void Add(TimeUs at, double value, double weight) {
    if (at > newest_at_) {
      weight_ = WeightAt(at);
      newest_at_ = at;
    } else {
      weight *= Remaining(newest_at_ - at);
    }
    weight_ += weight;
    if (weight_ > 0) {
      value_ += (value - value_) * weight / weight_;
    }
  }

  double WeightAt(TimeUs now) const {
    return weight_ == 0 ? 0 : weight_ * Remaining(now - newest_at_);
  }
  // The mean with `prior`, which counts as `prior_weight` observations.
  double LeaningOn(double prior, double prior_weight, TimeUs now) const {
    const double weight = WeightAt(now);
    return (weight * value_ + prior_weight * prior) / (weight + prior_weight);
  }
  double value() const { return value_; }
  TimeUs newest_at() const { return newest_at_; }

 private:
  double Remaining(DurationUs age) const {
    return age <= 0 ? 1
                    : std::exp(-static_cast<double>(age) /
                               static_cast<double>(decay_time_));
  }

  DurationUs decay_time_;
  double weight_ = 0;
  double value_ = 0;
  TimeUs newest_at_ = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_CHOICE_DECAYED_MEAN_H_
