// Pieces that are to be sent once more, but which the retry budget does not pay
// for yet.
//
// If such pieces ended, their requests would end with them, although there is
// time left and the budget fills again. They wait here; the most urgent one is
// tried first.
#ifndef ACACIACHUTE_SRC_COORDINATION_STAGES_POSTPONED_PIECES_H_
#define ACACIACHUTE_SRC_COORDINATION_STAGES_POSTPONED_PIECES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "state/piece.h"
#include "types.h"

namespace acaciachute {

class PostponedPieces {
 public:
  // Order of the pieces; the lowest is the most urgent.
  struct Place {
    std::uint32_t priority = 0;
    TimeUs request_arrived_at = 0;
    PieceKey key;
    auto operator<=>(const Place&) const = default;
  };

  // `result`: of the piece if it ends. It ends at `ends_at`.
  void Add(const Place& place, const PieceResult& result, TimeUs ends_at) {
    pieces_[place] = {result, ends_at};
  }
  void Remove(const Place& place) { pieces_.erase(place); }
  bool empty() const { return pieces_.empty(); }
  std::size_t size() const { return pieces_.size(); }
  const Place& First() const { return pieces_.begin()->first; }
  // Removes the pieces that can no longer be in time and returns their results.
  std::vector<PieceResult> TakeEnded(TimeUs now);

 private:
  struct Piece {
    PieceResult result;
    TimeUs ends_at = 0;
  };

  std::map<Place, Piece> pieces_;
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_COORDINATION_STAGES_POSTPONED_PIECES_H_
