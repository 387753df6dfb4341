#include "coordination/stages/postponed_pieces.h"

namespace acaciachute {

std::vector<PieceResult> PostponedPieces::TakeEnded(TimeUs now) {
  std::vector<PieceResult> ended;
  for (auto it = pieces_.begin(); it != pieces_.end();) {
    if (now < it->second.ends_at) {
      ++it;
      continue;
    }
    ended.push_back(it->second.result);
    it = pieces_.erase(it);
  }
  return ended;
}

}  // namespace acaciachute
