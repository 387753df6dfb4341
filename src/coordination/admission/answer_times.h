// Estimates, by route, how long an answer may take: nearly all take less than
// `LongestOf`.
//
// Used where a request must not be sent unless its answer comes in time, as a
// process that shuts down has to break off what is not answered by then.
#ifndef ACACIACHUTE_SRC_COORDINATION_ADMISSION_ANSWER_TIMES_H_
#define ACACIACHUTE_SRC_COORDINATION_ADMISSION_ANSWER_TIMES_H_

#include <map>
#include <string>

#include "types.h"

namespace acaciachute {

class AnswerTimes {
 public:
  // The share of answers that take at most the quantile, and how far each
  // answer moves it. It follows a doubling within about 40 answers.
  static constexpr double kQuantile = 0.95;
  static constexpr double kStep = 0.02;
  // Answers beyond the quantile take up to this multiple of it, and as long as
  // this to arrive.
  static constexpr double kTailFactor = 2;
  static constexpr DurationUs kMargin = 100 * kMillisecond;

  // A whole answer came this long after its request was sent.
  void OnAnswer(const std::string& route, DurationUs time) {
    const auto value = static_cast<double>(time);
    const auto [it, inserted] = quantiles_.try_emplace(route, value);
    if (!inserted) {
      it->second +=
          kStep * it->second * (value > it->second ? kQuantile : kQuantile - 1);
    }
  }
  // `usual`: taken for the quantile of a route without answers.
  DurationUs LongestOf(const std::string& route, DurationUs usual) const {
    const auto it = quantiles_.find(route);
    const double quantile =
        it == quantiles_.end() ? static_cast<double>(usual) : it->second;
    return static_cast<DurationUs>(kTailFactor * quantile) + kMargin;
  }

 private:
  std::map<std::string, double> quantiles_;  // In microseconds.
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_ADMISSION_ANSWER_TIMES_H_
