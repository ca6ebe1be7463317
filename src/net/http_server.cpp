#include "net/http_server.h"

#include <http_parser.h>

#include <asio/post.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <optional>
#include <vector>

#include "net/limits.h"

namespace scheduler::net {

using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

namespace {

const char* reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 413:
      return "Payload Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Entity";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

std::string head(int status, std::size_t length, int retry_after_s, bool close) {
  std::string out =
      "HTTP/1.1 " + std::to_string(status) + " " + reason(status) +
      "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(length) + "\r\n";
  if (retry_after_s > 0) out += "Retry-After: " + std::to_string(retry_after_s) + "\r\n";
  if (close) out += "Connection: close\r\n";
  return out + "\r\n";
}

}  // namespace

class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpServer& server, std::uint64_t id, tcp::socket socket)
      : server_(server), id_(id), socket_(std::move(socket)), active_(Clock::now()) {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    become_idle();
  }

  // Waits until there is something and then reads it: reading at once would cost a call that finds
  // nothing, for every request.
  void read() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](std::error_code error) {
      if (error || self->closed_) {
        self->close();
        return;
      }
      std::error_code failed;
      const std::size_t n = self->socket_.read_some(asio::buffer(self->server_.buffer_), failed);
      if (failed == asio::error::would_block) {
        self->read();
        return;
      }
      if (failed || n == 0) {
        self->close();
        return;
      }
      self->active_ = Clock::now();
      self->pending_.append(self->server_.buffer_.data(), n);
      self->parse();
    });
  }

  void reply(int status, const std::string& body, int retry_after_s) {
    if (!waiting_) return;
    waiting_ = false;
    const bool crowded = server_.crowded();
    if (crowded && keep_alive_) ++server_.closed_early_;
    send(status, body, retry_after_s, crowded || !keep_alive_);
  }

  void close() {
    if (closed_) return;
    closed_ = true;
    leave_idle();
    std::error_code ignored;
    socket_.close(ignored);
    server_.drop(id_);
  }

  bool idle() const { return !waiting_ && !started_; }
  bool waiting() const { return waiting_; }
  Clock::time_point active() const { return active_; }
  std::uint64_t request() const { return request_; }

 private:
  void become_idle() {
    if (idle_at_) return;
    idle_at_ = server_.idle_.insert(server_.idle_.end(), id_);
  }

  void leave_idle() {
    if (!idle_at_) return;
    server_.idle_.erase(*idle_at_);
    idle_at_.reset();
  }

  static Connection& of(http_parser* p) { return *static_cast<Connection*>(p->data); }

  static const http_parser_settings& settings() {
    static const http_parser_settings s = [] {
      http_parser_settings x;
      http_parser_settings_init(&x);
      x.on_message_begin = [](http_parser* p) {
        Connection& c = of(p);
        c.message_ = {};
        c.header_bytes_ = 0;
        c.started_ = true;
        c.leave_idle();
        return 0;
      };
      x.on_url = [](http_parser* p, const char* at, std::size_t n) {
        return of(p).header(n) ? (of(p).message_.path.append(at, n), 0) : 1;
      };
      x.on_header_field = [](http_parser* p, const char*, std::size_t n) {
        return of(p).header(n) ? 0 : 1;
      };
      x.on_header_value = [](http_parser* p, const char*, std::size_t n) {
        return of(p).header(n) ? 0 : 1;
      };
      x.on_headers_complete = [](http_parser* p) {
        // Refused before any of it is stored. ULLONG_MAX: no length was given.
        if (p->content_length != ~0ULL && p->content_length > limits::kBodyBytes) {
          of(p).refusal_ = 413;
          return -1;
        }
        return 0;
      };
      x.on_body = [](http_parser* p, const char* at, std::size_t n) {
        Connection& c = of(p);
        if (c.message_.body.size() + n > limits::kBodyBytes) {
          c.refusal_ = 413;
          return 1;
        }
        c.message_.body.append(at, n);
        return 0;
      };
      x.on_message_complete = [](http_parser* p) {
        Connection& c = of(p);
        c.complete_ = true;
        http_parser_pause(p, 1);  // one at a time; pipelined bytes wait
        return 0;
      };
      return x;
    }();
    return s;
  }

  bool header(std::size_t n) {
    header_bytes_ += n;
    if (header_bytes_ <= limits::kHeaderBytes) return true;
    refusal_ = 431;
    return false;
  }

  void parse() {
    const std::size_t used =
        http_parser_execute(&parser_, &settings(), pending_.data(), pending_.size());
    const auto error = HTTP_PARSER_ERRNO(&parser_);
    pending_.erase(0, used);
    if (complete_) {
      complete_ = false;
      started_ = false;
      http_parser_pause(&parser_, 0);
      keep_alive_ = http_should_keep_alive(&parser_) != 0;
      message_.method = http_method_str(static_cast<http_method>(parser_.method));
      waiting_ = true;
      request_ = server_.next_++;
      server_.requests_[request_] = id_;
      server_.handler_(request_, std::move(message_));
      return;
    }
    if (error != HPE_OK || parser_.upgrade) {
      const int status = refusal_ ? refusal_ : 400;
      send(status, R"({"error":"malformed or too large"})", 0, true);
      return;
    }
    read();
  }

  void send(int status, const std::string& body, int retry_after_s, bool close_after) {
    out_ = head(status, body.size(), retry_after_s, close_after) + body;
    // Nearly always all of it goes out at once.
    std::error_code error;
    const std::size_t n = socket_.write_some(asio::buffer(out_), error);
    if (error && error != asio::error::would_block) {
      close();
      return;
    }
    if (!error && n == out_.size()) {
      sent(close_after);
      return;
    }
    asio::async_write(
        socket_, asio::buffer(out_) + n,
        [self = shared_from_this(), close_after](std::error_code failed, std::size_t) {
          failed ? self->close() : self->sent(close_after);
        });
  }

  void sent(bool close_after) {
    if (close_after) {
      close();
      return;
    }
    active_ = Clock::now();
    if (pending_.empty()) {
      become_idle();
      read();
      return;
    }
    // Bytes that came meanwhile; later, so that a caller who sends many at once takes no stack.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      if (!self->closed_) self->parse();
    });
  }

  HttpServer& server_;
  std::uint64_t id_;
  tcp::socket socket_;
  http_parser parser_{};
  std::string pending_, out_;
  Request message_;
  std::size_t header_bytes_ = 0;
  int refusal_ = 0;
  bool complete_ = false, started_ = false, waiting_ = false, keep_alive_ = true, closed_ = false;
  std::uint64_t request_ = 0;
  Clock::time_point active_;
  std::optional<std::list<std::uint64_t>::iterator> idle_at_;  // where it stands among the idle
};

HttpServer::HttpServer(asio::io_context& io, const tcp::endpoint& listen, int max_connections,
                       Handler handler)
    : io_(io),
      acceptor_(io),
      sweeper_(io),
      accept_pause_(io),
      max_connections_(max_connections),
      handler_(std::move(handler)) {
  acceptor_.open(listen.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(listen);
  acceptor_.listen();
  accept();
  sweep();
}

HttpServer::~HttpServer() = default;

void HttpServer::accept() {
  acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {
      // Out of sockets, mostly: a pause instead of a busy loop.
      accept_pause_.expires_after(milliseconds(50));
      accept_pause_.async_wait([this](std::error_code e) {
        if (!e) accept();
      });
      return;
    }
    const bool full = static_cast<int>(connections_.size()) >= max_connections_;
    if (full && !evict_idle()) {
      ++refused_;
      std::error_code ignored;
      socket.close(ignored);
      accept();
      return;
    }
    std::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    const std::uint64_t id = next_++;
    auto connection = std::make_shared<Connection>(*this, id, std::move(socket));
    connections_[id] = connection;
    connection->read();
    accept();
  });
}

bool HttpServer::evict_idle() {
  if (idle_.empty()) return false;
  const auto found = connections_.find(idle_.front());
  if (found == connections_.end()) return false;
  const auto oldest = found->second;  // kept while it closes
  if (Clock::now() - oldest->active() <= milliseconds(limits::kEvictIdleMs)) return false;
  oldest->close();
  return true;
}

bool HttpServer::crowded() const {
  return static_cast<double>(connections_.size()) > limits::kCrowdedShare * max_connections_;
}

void HttpServer::sweep() {
  sweeper_.expires_after(milliseconds(limits::kSweepMs));
  sweeper_.async_wait([this](std::error_code error) {
    if (error) return;
    std::vector<std::shared_ptr<Connection>> quiet;
    const auto now = Clock::now();
    for (auto& [id, c] : connections_) {
      if (c->waiting()) continue;
      const auto most = milliseconds(c->idle() ? limits::kServerIdleMs : limits::kServerRequestMs);
      if (now - c->active() > most) quiet.push_back(c);
    }
    for (auto& c : quiet) c->close();
    sweep();
  });
}

void HttpServer::drop(std::uint64_t connection) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  requests_.erase(it->second->request());
  connections_.erase(it);
}

void HttpServer::reply(std::uint64_t id, int status, const std::string& body, int retry_after_s) {
  auto it = requests_.find(id);
  if (it == requests_.end()) return;
  auto c = connections_.find(it->second);
  requests_.erase(it);
  if (c == connections_.end()) return;
  const auto connection = c->second;  // kept while it answers
  connection->reply(status, body, retry_after_s);
}

}  // namespace scheduler::net
