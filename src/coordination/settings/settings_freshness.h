// Interface that tells whether a node can prove that its settings are in force.
#ifndef ACACIACHUTE_SRC_COORDINATION_SETTINGS_SETTINGS_FRESHNESS_H_
#define ACACIACHUTE_SRC_COORDINATION_SETTINGS_SETTINGS_FRESHNESS_H_

#include "types.h"

namespace acaciachute {

class SettingsFreshness {
 public:
  virtual ~SettingsFreshness() = default;
  // Checked when a request is admitted, so that a process that was suspended
  // does not serve requests from its socket buffers under outdated settings.
  virtual bool IsCurrent(TimeUs now) const = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_SETTINGS_SETTINGS_FRESHNESS_H_
