// Log lines that programs can read: one event a line, `event=NAME key=value ...`.
#pragma once

#include <concepts>
#include <string>
#include <string_view>

namespace scheduler {

// Builds one line. Values are printed as they are, so they must not contain spaces; names of jobs,
// machines and controllers do not.
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
