#include "scheduling/range_split.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace scheduler {

namespace {

// Maximum tasks of one range; the bitmap of completed tasks then takes 2 KiB of the value as
// hexadecimal digits.
constexpr std::uint32_t kMaxTasksPerRange = 8192;
// Share of a range record's value that the bitmap of completed tasks may take. At values of 2 KiB,
// a job of 100,000 tasks then has at most 28 ranges, and about half of each value is left to
// placements.
constexpr double kCompletionBitmapShare = 0.45;

}  // namespace

namespace {

// Returns a range that covers only the tasks [begin, end).
wire::RangeRecord slice(const wire::RangeRecord& range, std::uint32_t begin, std::uint32_t end) {
  wire::RangeRecord piece;
  piece.job = range.job;
  piece.number = range.number;
  piece.owner = range.owner;
  piece.begin = begin;
  piece.end = end;
  piece.next_attempt = range.next_attempt;
  piece.stopping = range.stopping;
  piece.done.assign(range.done.begin() + (begin - range.begin),
                    range.done.begin() + (end - range.begin));
  piece.placed.insert(range.placed.lower_bound(begin), range.placed.lower_bound(end));
  return piece;
}

// Returns the split point that gives both sides the same number of placements, or of tasks if there
// are fewer than two placements.
std::uint32_t split_point(const wire::RangeRecord& range) {
  if (range.placed.size() < 2) return range.begin + (range.end - range.begin) / 2;
  const auto half = static_cast<std::ptrdiff_t>(range.placed.size() / 2);
  return std::next(range.placed.begin(), half)->first;
}

}  // namespace

std::vector<wire::RangeRecord> split_to_fit(const wire::RangeRecord& range,
                                            std::size_t limit_bytes) {
  std::vector<wire::RangeRecord> pieces;
  std::vector<wire::RangeRecord> remaining{
      range};  // a stack; the piece with the lowest tasks is on top
  while (!remaining.empty()) {
    const wire::RangeRecord current = std::move(remaining.back());
    remaining.pop_back();
    const bool single = current.end - current.begin < 2;
    if (single || encode(current).size() <= limit_bytes) {
      pieces.push_back(current);
      continue;
    }
    const std::uint32_t cut = std::clamp(split_point(current), current.begin + 1, current.end - 1);
    remaining.push_back(slice(current, cut, current.end));
    remaining.push_back(slice(current, current.begin, cut));
  }
  return pieces;
}

std::uint32_t max_tasks_per_range(std::size_t limit_bytes) {
  constexpr std::size_t kTasksPerHexDigit = 4;
  const auto by_value = static_cast<std::uint32_t>(
      static_cast<double>(limit_bytes * kTasksPerHexDigit) * kCompletionBitmapShare);
  return std::clamp(by_value, 1U, kMaxTasksPerRange);
}

}  // namespace scheduler
