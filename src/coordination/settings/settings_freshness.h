// Whether a node can show that its settings are those in force.
#ifndef ACACIACHUTE_SRC_COORDINATION_SETTINGS_SETTINGS_FRESHNESS_H_
#define ACACIACHUTE_SRC_COORDINATION_SETTINGS_SETTINGS_FRESHNESS_H_

#include "types.h"

namespace acaciachute {

class SettingsFreshness {
 public:
  virtual ~SettingsFreshness() = default;
  // Asked as a request is admitted, so that a process that was paused cannot
  // serve what waited in its sockets under settings that are old by now.
  virtual bool IsCurrent(TimeUs now) const = 0;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_SETTINGS_SETTINGS_FRESHNESS_H_
