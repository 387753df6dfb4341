// Interface that tells whether a node can prove that its settings are in force.
#ifndef ACACIACHUTE_SRC_COORDINATION_SETTINGS_CURRENCY_H_
#define ACACIACHUTE_SRC_COORDINATION_SETTINGS_CURRENCY_H_

#include "types.h"

namespace acaciachute {

class Currency {
 public:
  virtual ~Currency() = default;
  // Checked when a request is admitted, so that a process that was suspended
  // does not serve requests from its socket buffers under outdated settings.
  virtual bool IsCurrent(TimeUs now) const = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_SETTINGS_CURRENCY_H_
