// Model checker: visits every state that a small world can reach.
#ifndef ACACIACHUTE_TESTS_MODEL_EXPLORE_H_
#define ACACIACHUTE_TESTS_MODEL_EXPLORE_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace acaciachute {

// One step that may be next in the world.
struct Step {
  std::string name;
  std::function<void()> run;
};

struct Exploration {
  std::size_t states = 0;
  std::size_t steps = 0;
  // False if the search stopped at `max_states`.
  bool complete = true;
  std::string violation;           // Empty if none was found.
  std::vector<std::string> trace;  // Steps that lead to the violation.
};

// Searches breadth first, so that a violation comes with a shortest trace. The
// cores under test cannot be copied, so a state is reproduced by its steps. A
// `World` has `Steps()`, `Violation()` and `Signature()`; two states with the
// same signature must have the same future.
template <typename MakeWorld>
Exploration Explore(const MakeWorld& make, std::size_t max_states) {
  Exploration out;
  std::unordered_set<std::string> seen;
  std::deque<std::vector<std::size_t>> frontier = {{}};
  while (!frontier.empty()) {
    const std::vector<std::size_t> path = std::move(frontier.front());
    frontier.pop_front();
    const auto world = make();
    std::vector<std::string> trace;
    for (const std::size_t n : path) {
      const auto steps = world->Steps();
      trace.push_back(steps[n].name);
      steps[n].run();
    }
    if (!seen.insert(world->Signature()).second) {
      continue;
    }
    out.states = seen.size();
    out.violation = world->Violation();
    if (!out.violation.empty()) {
      out.trace = std::move(trace);
      return out;
    }
    if (out.states >= max_states) {
      out.complete = false;
      return out;
    }
    const std::size_t steps = world->Steps().size();
    out.steps += steps;
    for (std::size_t n = 0; n < steps; ++n) {
      frontier.push_back(path);
      frontier.back().push_back(n);
    }
  }
  return out;
}

inline std::string TraceText(const Exploration& it) {
  std::string text = it.violation;
  for (const auto& step : it.trace) {
    text += "\n  " + step;
  }
  return text;
}

}  // namespace acaciachute

#endif  // ACACIACHUTE_TESTS_MODEL_EXPLORE_H_
