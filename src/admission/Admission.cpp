#include "zinniarail/admission/Admission.h"

#include <iterator>

namespace zinniarail {

Admission admit(const WaitingQueue &queue, const Place &newcomer,
                std::size_t limit) {
  if (queue.size() < limit) {
    return {true, std::nullopt};
  }
  if (queue.empty() || queue.rbegin()->Priority <= newcomer.Priority) {
    return {};
  }
  return {true, *queue.rbegin()};
}

Duration expectWait(std::size_t ahead, const ServiceRate &rate) {
  if (rate.Slots == 0) {
    return Duration::max();
  }
  return rate.PerRequest * static_cast<Duration::rep>(ahead + 1) / rate.Slots;
}

std::size_t countAhead(const WaitingQueue &queue, const Place &place) {
  return static_cast<std::size_t>(
      std::distance(queue.begin(), queue.lower_bound(place)));
}

} // namespace zinniarail
