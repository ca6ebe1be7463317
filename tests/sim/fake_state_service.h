// A stand-in for the state service, written from PROTOCOL: guarded transactions, pages, watches
// and holds. It is told the time and answers through callbacks.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/types.h"
#include "wire/messages.h"

namespace scheduler::sim {

using Respond = std::function<void(int status, std::string body)>;

// The members of a JSON object, one after the other.
struct Put {
  std::string text;
  void key(const char* name) {
    if (!text.empty()) text += ",";
    text += "\"" + std::string(name) + "\":";
  }
  void str(const char* name, const std::string& v) { key(name), text += "\"" + v + "\""; }
  void raw(const char* name, const std::string& v) { key(name), text += v; }
  void num(const char* name, std::uint64_t v) { raw(name, std::to_string(v)); }
  std::string done() const { return "{" + text + "}"; }
};

inline std::map<std::string, std::string> query(const std::string& path) {
  std::map<std::string, std::string> out;
  auto at = path.find('?');
  while (at != std::string::npos) {
    const auto next = path.find('&', at + 1);
    const std::string part = path.substr(at + 1, next == std::string::npos ? next : next - at - 1);
    const auto eq = part.find('=');
    out[part.substr(0, eq)] = eq == std::string::npos ? "" : part.substr(eq + 1);
    at = next;
  }
  return out;
}

// What one transaction may hold, and how much may change in a second (PROTOCOL, "Limits and
// errors"). Every request is checked against the limits of its moment; what is stored stays.
struct StateLimits {
  unsigned txn_ops = 24;  // puts and deletes; four times as many conditions
  std::size_t value_bytes = 8 * 1024;
  double writes_per_s = 0;  // 0: no limit
};

struct FakeStateService {
  StateLimits limits;
  int over_limits = 0;  // transactions refused with 400 for their size
  int throttled = 0;    // transactions refused with 429 for their rate
  struct Item {
    std::string value;
    std::uint64_t version = 0;
    std::uint64_t permit = 0;
  };
  struct Change {
    std::uint64_t revision;
    std::string key;
    std::optional<std::string> value;
  };
  struct Watcher {
    std::uint64_t after;
    Ms until;
    std::size_t node;
    Respond respond;
  };
  std::map<std::string, Item> items;
  std::vector<Change> changes;
  std::map<std::uint64_t, std::pair<Ms, Ms>> holds;  // permit -> end, life
  std::vector<Watcher> watchers;
  std::uint64_t revision = 0, next_permit = 1, writes = 0;
  bool outage = false;
  bool holds_wait = false;  // none ends in this outage
  bool ignore_conditions = false;
  std::uint64_t changes_kept = 10'000;  // older ones are told to no watch: 410
  int watches_too_old = 0;              // that were answered so
  // Of the changes that the rate allows now, and when that was counted.
  double burst_left = 0;
  Ms burst_counted_at = 0;

  // Told of every change.
  std::function<void(const std::string& key, const std::optional<std::string>& value)> on_change;

  void change(const std::string& key, std::optional<std::string> value) {
    if (on_change) on_change(key, value);
    changes.push_back({revision, key, std::move(value)});
  }

  void end_holds(Ms now) {
    if (outage && holds_wait) return;
    for (auto it = holds.begin(); it != holds.end();) {
      if (now <= it->second.first) {
        ++it;
        continue;
      }
      for (auto item = items.begin(); item != items.end();) {
        if (item->second.permit == it->first) {
          ++revision;
          change(item->first, std::nullopt);
          item = items.erase(item);
        } else {
          ++item;
        }
      }
      it = holds.erase(it);
    }
  }

  static std::string event(const Change& c) {
    Put p;
    p.str(c.value ? "write" : "remove", c.key);
    if (c.value) p.raw("v", *c.value);
    p.num("stamp", c.revision);
    return p.done();
  }

  void serve_watchers(Ms now, const std::function<bool(std::size_t)>& reachable) {
    std::vector<Watcher> keep;
    std::vector<std::pair<Respond, std::string>> ready;
    for (auto& w : watchers) {
      if (outage || !reachable(w.node) || (revision <= w.after && now < w.until)) {
        keep.push_back(std::move(w));
        continue;
      }
      std::string list;
      for (auto c =
               std::lower_bound(changes.begin(), changes.end(), w.after + 1,
                                [](const Change&x, std::uint64_t r) { return x.revision < r; });
           c != changes.end(); ++c)
        list += (list.empty() ? "" : ",") + event(*c);
      Put p;
      p.num("ledger", revision);
      p.raw("events", "[" + list + "]");
      ready.emplace_back(std::move(w.respond), p.done());
    }
    watchers = std::move(keep);
    for (auto& [respond, body] : ready) respond(200, body);
  }

  bool too_large(const std::string& body, const wire::Json& transaction) const {
    const auto& writes = transaction["writes"];
    if (body.size() > 64 * 1024 || writes.Size() > limits.txn_ops ||
        transaction["guards"].Size() > 4 * limits.txn_ops)
      return true;
    return std::any_of(writes.Begin(), writes.End(), [this](const wire::Json& w) {
      return w.HasMember("v") && wire::text_of(w["v"]).size() > limits.value_bytes;
    });
  }

  void set_limits(Ms now, const StateLimits& next) {
    limits = next;
    burst_left = limits.writes_per_s;
    burst_counted_at = now;
  }

  // Takes the changes of a transaction out of the rate, of which a second's worth may come at once.
  bool within_rate(Ms now, unsigned changes_wanted) {
    if (limits.writes_per_s <= 0) return true;
    const double refill =
        static_cast<double>(now - burst_counted_at) / 1000.0 * limits.writes_per_s;
    burst_left = std::min(limits.writes_per_s, burst_left + refill);
    burst_counted_at = now;
    if (burst_left < changes_wanted) return false;
    burst_left -= changes_wanted;
    return true;
  }

  void transact(Ms now, const std::string& body, const Respond& respond) {
    rapidjson::Document doc;
    if (!wire::parse_object(body, doc)) return respond(400, "{}");
    if (too_large(body, doc)) {
      ++over_limits;
      return respond(400, R"({"error":"too large"})");
    }
    // Before the conditions: those that fail count as well.
    if (!within_rate(now, doc["writes"].Size())) {
      ++throttled;
      return respond(429, "{}");
    }
    std::string failed;
    for (const auto& g : doc["guards"].GetArray()) {
      auto it = items.find(g["k"].GetString());
      const std::uint64_t version = it == items.end() ? 0 : it->second.version;
      if (version != g["stamp"].GetUint64() && !ignore_conditions)
        failed += (failed.empty() ? "\"" : ",\"") + std::string(g["k"].GetString()) + "\"";
    }
    if (!failed.empty()) {
      Put p;
      p.raw("failed", "[" + failed + "]");
      p.num("ledger", revision);
      return respond(409, p.done());
    }
    for (const auto& w : doc["writes"].GetArray())
      if (w.HasMember("permit") && !holds.contains(w["permit"].GetUint64()))
        return respond(400, R"({"error":"no such lease"})");
    if (!doc["writes"].Empty()) ++revision;
    writes += doc["writes"].Size();
    for (const auto& w : doc["writes"].GetArray()) {
      if (w.HasMember("write")) {
        Item& item = items[w["write"].GetString()];
        item.value = wire::text_of(w["v"]);
        item.version = revision;
        item.permit = w.HasMember("permit") ? w["permit"].GetUint64() : 0;
        change(w["write"].GetString(), item.value);
      } else if (items.erase(w["remove"].GetString())) {
        change(w["remove"].GetString(), std::nullopt);
      }
    }
    Put p;
    p.num("ledger", revision);
    respond(200, p.done());
  }

  // Requests and changes of the second that began at `second`.
  Ms second = 0;
  int requests_now = 0, peak_requests = 0, peak_writes = 0;
  std::uint64_t writes_before = 0;

  void count(Ms now) {
    if (now >= second + 1000) {
      second = now;
      requests_now = 0;
      writes_before = writes;
    }
    peak_requests = std::max(peak_requests, ++requests_now);
    peak_writes = std::max(peak_writes, static_cast<int>(writes - writes_before));
  }

  void serve(Ms now, const Call& call, std::size_t node, const Respond& respond) {
    end_holds(now);
    count(now);
    Put p;
    if (call.path.starts_with("/changes")) {
      auto q = query(call.path);
      if (revision > std::stoull(q["after"]) + changes_kept) {
        ++watches_too_old;
        return respond(410, "{}");
      }
      watchers.push_back({std::stoull(q["after"]), now + std::stoll(q["blockMs"]), node, respond});
    } else if (call.path == "/multi") {
      transact(now, call.body, respond);
    } else if (call.path == "/holds") {
      rapidjson::Document doc;
      wire::parse_object(call.body, doc);
      const Ms life = doc["lifeMs"].GetInt64();
      holds[next_permit] = {now + life, life};
      p.num("permit", next_permit++);
      respond(200, p.done());
    } else if (call.path.starts_with("/holds/")) {
      auto it = holds.find(std::stoull(call.path.substr(7)));
      if (it == holds.end()) return respond(404, "{}");
      it->second.first = now + it->second.second;
      respond(200, "{}");
    } else if (call.path.starts_with("/store?")) {
      auto q = query(call.path);
      std::string list;
      int n = 0;
      bool more = false;
      for (auto it = items.lower_bound(q["starts"]); it != items.end(); ++it) {
        if (!it->first.starts_with(q["starts"])) break;
        if (!q["after"].empty() && it->first <= q["after"]) continue;
        if (n++ == std::stoi(q["most"])) {
          more = true;
          break;
        }
        Put i;
        i.str("k", it->first);
        i.raw("v", it->second.value);
        i.num("stamp", it->second.version);
        list += (list.empty() ? "" : ",") + i.done();
      }
      p.raw("pairs", "[" + list + "]");
      p.raw("hasNext", more ? "true" : "false");
      p.num("ledger", revision);
      respond(200, p.done());
    } else {
      auto it = items.find(call.path.substr(7));
      if (it == items.end()) {
        p.num("ledger", revision);
        return respond(404, p.done());
      }
      p.str("k", it->first);
      p.raw("v", it->second.value);
      p.num("stamp", it->second.version);
      respond(200, p.done());
    }
  }
};

}  // namespace scheduler::sim
