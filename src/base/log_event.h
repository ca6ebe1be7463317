// Machine-readable log lines with one event per line: `event=NAME key=value ...`.
#pragma once

#include <concepts>
#include <string>
#include <string_view>

namespace scheduler {

// Builds one log line. Values are not escaped and must not contain spaces; names of jobs, machines
// and controllers contain none.
class LogEvent {
 public:
  explicit LogEvent(std::string_view name) : text_("event=") { text_ += name; }

  LogEvent& field(std::string_view key, std::string_view value) {
    text_ += ' ';
    text_ += key;
    text_ += '=';
    text_ += value;
    return *this;
  }

  LogEvent& field(std::string_view key, std::integral auto value) {
    return field(key, std::to_string(value));
  }

  [[nodiscard]] const std::string& text() const { return text_; }

 private:
  std::string text_;
};

}  // namespace scheduler
