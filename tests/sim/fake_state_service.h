// A fake of the state service that implements PROTOCOL: compare-and-swap transactions, paged reads,
// watches and session leases. Callers pass the current time and receive replies through callbacks.
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

// Builds the text of a JSON object, member by member.
struct JsonObjectBuilder {
  std::string text;
  void key(const char* name) {
    if (!text.empty()) text += ",";
    text += "\"" + std::string(name) + "\":";
  }
  void str(const char* name, const std::string& v) { key(name), text += "\"" + v + "\""; }
  void raw(const char* name, const std::string& v) { key(name), text += v; }
  void num(const char* name, std::uint64_t v) { raw(name, std::to_string(v)); }
  [[nodiscard]] std::string done() const { return "{" + text + "}"; }
};

inline std::map<std::string, std::string> query_parameters(const std::string& path) {
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

// The largest allowed transaction and the allowed write rate (PROTOCOL, "Limits and errors"). Each
// request is checked against the current limits; stored values are kept when the limits are
// reduced.
struct StateLimits {
  unsigned txn_ops = 24;  // most puts and deletes; four times as many conditions are allowed
  std::size_t value_bytes = std::size_t{8} * 1024;
  double writes_per_s = 0;  // 0: no limit
};

struct FakeStateService {
  StateLimits limits;
  int oversized_txns = 0;  // transactions refused with 400 because of their size
  int throttled_txns = 0;  // transactions refused with 429 because of the write rate
  int failed_txns = 0;     // transactions answered 409 because a condition failed
  struct Item {
    std::string value;
    std::uint64_t version = 0;
    std::uint64_t lease_id = 0;  // the item is removed when this session lease expires; 0: none
  };
  struct Change {
    std::uint64_t revision;
    std::string key;
    std::optional<std::string> value;
  };
  struct SessionLease {
    Ms expires_at = 0, duration_ms = 0;
  };
  struct Watcher {
    std::uint64_t after;
    Ms until;
    std::size_t controller_index;
    Respond respond;
  };
  std::map<std::string, Item> items;
  std::vector<Change> changes;
  std::map<std::uint64_t, SessionLease> session_leases;  // session leases by id
  std::vector<Watcher> watchers;
  std::uint64_t revision = 0, next_lease_id = 1, writes = 0;
  bool outage = false;
  bool leases_suspended = false;  // session leases don't expire during the current outage
  bool ignore_conditions = false;
  std::uint64_t changes_kept = 10'000;  // a watch that needs older changes gets the reply 410
  int compacted_watches = 0;            // watches that got the reply 410
  // Token bucket of the write rate: the number of changes allowed now, and the time of its update.
  double write_tokens = 0;
  Ms write_tokens_at = 0;

  // Called for each change; no value means that the key was removed.
  std::function<void(const std::string& key, const std::optional<std::string>& value)> on_change;

  void change(const std::string& key, std::optional<std::string> value) {
    if (on_change) on_change(key, value);
    changes.push_back({revision, key, std::move(value)});
  }

  void expire_session_leases(Ms now) {
    if (outage && leases_suspended) return;
    for (auto it = session_leases.begin(); it != session_leases.end();) {
      if (now <= it->second.expires_at) {
        ++it;
        continue;
      }
      for (auto item = items.begin(); item != items.end();) {
        if (item->second.lease_id == it->first) {
          ++revision;
          change(item->first, std::nullopt);
          item = items.erase(item);
        } else {
          ++item;
        }
      }
      it = session_leases.erase(it);
    }
  }

  static std::string event(const Change& c) {
    JsonObjectBuilder p;
    p.str(c.value ? "write" : "remove", c.key);
    if (c.value) p.raw("v", *c.value);
    p.num("stamp", c.revision);
    return p.done();
  }

  void serve_watchers(Ms now, const std::function<bool(std::size_t)>& reachable) {
    std::vector<Watcher> keep;
    std::vector<std::pair<Respond, std::string>> ready;
    for (auto& w : watchers) {
      if (outage || !reachable(w.controller_index) || (revision <= w.after && now < w.until)) {
        keep.push_back(std::move(w));
        continue;
      }
      std::string list;
      for (auto c =
               std::lower_bound(changes.begin(), changes.end(), w.after + 1,
                                [](const Change&x, std::uint64_t r) { return x.revision < r; });
           c != changes.end(); ++c)
        list += (list.empty() ? "" : ",") + event(*c);
      JsonObjectBuilder p;
      p.num("ledger", revision);
      p.raw("events", "[" + list + "]");
      ready.emplace_back(std::move(w.respond), p.done());
    }
    watchers = std::move(keep);
    for (auto& [respond, body] : ready) respond(200, body);
  }

  [[nodiscard]] bool too_large(const std::string& body, const wire::Json& transaction) const {
    const auto& writes = transaction["writes"];
    if (body.size() > std::size_t{64} * 1024 || writes.Size() > limits.txn_ops ||
        transaction["guards"].Size() > 4 * limits.txn_ops)
      return true;
    return std::any_of(writes.Begin(), writes.End(), [this](const wire::Json& w) {
      return w.HasMember("v") && wire::text_of(w["v"]).size() > limits.value_bytes;
    });
  }

  void set_limits(Ms now, const StateLimits& next) {
    limits = next;
    write_tokens = limits.writes_per_s;
    write_tokens_at = now;
  }

  // Whether the write rate allows these changes. The bucket holds the changes of one second.
  bool within_rate(Ms now, unsigned changes_wanted) {
    if (limits.writes_per_s <= 0) return true;
    const double refill = static_cast<double>(now - write_tokens_at) / 1000.0 * limits.writes_per_s;
    write_tokens = std::min(limits.writes_per_s, write_tokens + refill);
    write_tokens_at = now;
    if (write_tokens < changes_wanted) return false;
    write_tokens -= changes_wanted;
    return true;
  }

  void transact(Ms now, const std::string& body, const Respond& respond) {
    rapidjson::Document doc;
    if (!wire::parse_object(body, doc)) return respond(400, "{}");
    if (too_large(body, doc)) {
      ++oversized_txns;
      return respond(400, R"({"error":"too large"})");
    }
    // Checked before the conditions: transactions whose conditions fail count towards the rate too.
    if (!within_rate(now, doc["writes"].Size())) {
      ++throttled_txns;
      return respond(429, "{}");
    }
    if (const std::string failed = failed_conditions(doc["guards"]); !failed.empty()) {
      JsonObjectBuilder p;
      p.raw("failed", "[" + failed + "]");
      p.num("ledger", revision);
      ++failed_txns;
      return respond(409, p.done());
    }
    for (const auto& w : doc["writes"].GetArray())
      if (w.HasMember("permit") && !session_leases.contains(w["permit"].GetUint64()))
        return respond(400, R"({"error":"no such lease"})");
    apply(doc["writes"]);
    JsonObjectBuilder p;
    p.num("ledger", revision);
    respond(200, p.done());
  }

  // Keys whose version differs from the one that the transaction expects, as members of a JSON
  // array.
  [[nodiscard]] std::string failed_conditions(const wire::Json& conditions) const {
    std::string failed;
    for (const auto& g : conditions.GetArray()) {
      const auto it = items.find(g["k"].GetString());
      const std::uint64_t version = it == items.end() ? 0 : it->second.version;
      if (version != g["stamp"].GetUint64() && !ignore_conditions)
        failed += (failed.empty() ? "\"" : ",\"") + std::string(g["k"].GetString()) + "\"";
    }
    return failed;
  }

  void apply(const wire::Json& transaction_writes) {
    if (!transaction_writes.Empty()) ++revision;
    writes += transaction_writes.Size();
    for (const auto& w : transaction_writes.GetArray()) {
      if (w.HasMember("write")) {
        Item& item = items[w["write"].GetString()];
        item.value = wire::text_of(w["v"]);
        item.version = revision;
        item.lease_id = w.HasMember("permit") ? w["permit"].GetUint64() : 0;
        change(w["write"].GetString(), item.value);
      } else if (items.erase(w["remove"].GetString())) {
        change(w["remove"].GetString(), std::nullopt);
      }
    }
  }

  // Counts of requests and writes in the second that starts at `second_start`.
  Ms second_start = 0;
  int requests_this_second = 0, peak_requests = 0, peak_writes = 0;
  std::uint64_t writes_before = 0;

  void count(Ms now) {
    if (now >= second_start + 1000) {
      second_start = now;
      requests_this_second = 0;
      writes_before = writes;
    }
    peak_requests = std::max(peak_requests, ++requests_this_second);
    peak_writes = std::max(peak_writes, static_cast<int>(writes - writes_before));
  }

  void serve(Ms now, const Call& call, std::size_t controller_index, const Respond& respond) {
    expire_session_leases(now);
    count(now);
    if (call.path.starts_with("/changes")) {
      watch(now, call.path, controller_index, respond);
    } else if (call.path == "/multi") {
      transact(now, call.body, respond);
    } else if (call.path == "/holds") {
      grant_session_lease(now, call.body, respond);
    } else if (call.path.starts_with("/holds/")) {
      renew_session_lease(now, call.path, respond);
    } else if (call.path.starts_with("/store?")) {
      read_page(call.path, respond);
    } else {
      read(call.path, respond);
    }
  }

  void watch(Ms now, const std::string& path, std::size_t controller_index,
             const Respond& respond) {
    auto q = query_parameters(path);
    const std::uint64_t after = std::stoull(q["after"]);
    if (revision > after + changes_kept) {
      ++compacted_watches;
      return respond(410, "{}");
    }
    watchers.push_back({after, now + std::stoll(q["blockMs"]), controller_index, respond});
  }

  void grant_session_lease(Ms now, const std::string& body, const Respond& respond) {
    rapidjson::Document doc;
    wire::parse_object(body, doc);
    const Ms duration_ms = doc["lifeMs"].GetInt64();
    session_leases[next_lease_id] = {now + duration_ms, duration_ms};
    JsonObjectBuilder p;
    p.num("permit", next_lease_id++);
    respond(200, p.done());
  }

  void renew_session_lease(Ms now, const std::string& path, const Respond& respond) {
    const auto it = session_leases.find(std::stoull(path.substr(7)));  // the id follows "/holds/"
    if (it == session_leases.end()) return respond(404, "{}");
    it->second.expires_at = now + it->second.duration_ms;
    respond(200, "{}");
  }

  // Extends all remaining session leases to their full duration from now.
  void renew_all_session_leases(Ms now) {
    for (auto& [id, lease] : session_leases) lease.expires_at = now + lease.duration_ms;
  }

  void read_page(const std::string& path, const Respond& respond) const {
    auto q = query_parameters(path);
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
      list += (list.empty() ? "" : ",") + entry(it->first, it->second).done();
    }
    JsonObjectBuilder p;
    p.raw("pairs", "[" + list + "]");
    p.raw("hasNext", more ? "true" : "false");
    p.num("ledger", revision);
    respond(200, p.done());
  }

  void read(const std::string& path, const Respond& respond) const {
    const auto it = items.find(path.substr(7));  // the key follows "/store/"
    if (it != items.end()) return respond(200, entry(it->first, it->second).done());
    JsonObjectBuilder p;
    p.num("ledger", revision);
    respond(404, p.done());
  }

  static JsonObjectBuilder entry(const std::string& key, const Item& item) {
    JsonObjectBuilder p;
    p.str("k", key);
    p.raw("v", item.value);
    p.num("stamp", item.version);
    return p;
  }
};

}  // namespace scheduler::sim
