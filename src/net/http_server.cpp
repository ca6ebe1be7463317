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

const char* reason_phrase(int status) {
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

std::string response_head(int status, std::size_t length, int retry_after_s, bool close) {
  std::string out =
      "HTTP/1.1 " + std::to_string(status) + " " + reason_phrase(status) +
      "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(length) + "\r\n";
  if (retry_after_s > 0) out += "Retry-After: " + std::to_string(retry_after_s) + "\r\n";
  if (close) out += "Connection: close\r\n";
  return out + "\r\n";
}

}  // namespace

class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpServer& server, std::uint64_t id, tcp::socket socket)
      : server_(server), id_(id), socket_(std::move(socket)), last_active_at_(Clock::now()) {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    enter_idle_list();
  }

  // Waits until data is available before it reads: an immediate read would cost a system call that
  // returns no data for every request.
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
      self->last_active_at_ = Clock::now();
      self->pending_.append(self->server_.buffer_.data(), n);
      self->parse();
    });
  }

  void reply(int status, const std::string& body, int retry_after_s) {
    if (!awaiting_reply_) return;
    awaiting_reply_ = false;
    const bool nearly_full = server_.nearly_full();
    if (nearly_full && keep_alive_) ++server_.closed_early_;
    send(status, body, retry_after_s, nearly_full || !keep_alive_);
  }

  void close() {
    if (closed_) return;
    closed_ = true;
    leave_idle_list();
    std::error_code ignored;
    socket_.close(ignored);
    server_.remove_connection(id_);
  }

  bool idle() const { return !awaiting_reply_ && !receiving_; }
  bool awaiting_reply() const { return awaiting_reply_; }
  Clock::time_point last_active_at() const { return last_active_at_; }
  std::uint64_t request_id() const { return request_id_; }

 private:
  void enter_idle_list() {
    if (idle_position_) return;
    idle_position_ = server_.idle_.insert(server_.idle_.end(), id_);
  }

  void leave_idle_list() {
    if (!idle_position_) return;
    server_.idle_.erase(*idle_position_);
    idle_position_.reset();
  }

  static Connection& connection_of(http_parser* p) { return *static_cast<Connection*>(p->data); }

  static const http_parser_settings& settings() {
    static const http_parser_settings s = [] {
      http_parser_settings callbacks;
      http_parser_settings_init(&callbacks);
      callbacks.on_message_begin = [](http_parser* p) {
        Connection& c = connection_of(p);
        c.message_ = {};
        c.header_bytes_ = 0;
        c.receiving_ = true;
        c.leave_idle_list();
        return 0;
      };
      callbacks.on_url = [](http_parser* p, const char* at, std::size_t n) {
        return connection_of(p).count_header_bytes(n)
                   ? (connection_of(p).message_.path.append(at, n), 0)
                   : 1;
      };
      callbacks.on_header_field = [](http_parser* p, const char*, std::size_t n) {
        return connection_of(p).count_header_bytes(n) ? 0 : 1;
      };
      callbacks.on_header_value = [](http_parser* p, const char*, std::size_t n) {
        return connection_of(p).count_header_bytes(n) ? 0 : 1;
      };
      callbacks.on_headers_complete = [](http_parser* p) {
        // Rejects a body that is too large before any of it is stored. The parser sets
        // content_length to ULLONG_MAX if the request has no Content-Length.
        if (p->content_length != ~0ULL && p->content_length > limits::kMaxBodyBytes) {
          connection_of(p).error_status_ = 413;
          return -1;
        }
        return 0;
      };
      callbacks.on_body = [](http_parser* p, const char* at, std::size_t n) {
        Connection& c = connection_of(p);
        if (c.message_.body.size() + n > limits::kMaxBodyBytes) {
          c.error_status_ = 413;
          return 1;
        }
        c.message_.body.append(at, n);
        return 0;
      };
      callbacks.on_message_complete = [](http_parser* p) {
        Connection& c = connection_of(p);
        c.complete_ = true;
        http_parser_pause(p, 1);  // one request at a time; pipelined bytes stay in pending_
        return 0;
      };
      return callbacks;
    }();
    return s;
  }

  bool count_header_bytes(std::size_t n) {
    header_bytes_ += n;
    if (header_bytes_ <= limits::kMaxHeaderBytes) return true;
    error_status_ = 431;
    return false;
  }

  void parse() {
    const std::size_t parsed_bytes =
        http_parser_execute(&parser_, &settings(), pending_.data(), pending_.size());
    const auto error = HTTP_PARSER_ERRNO(&parser_);
    pending_.erase(0, parsed_bytes);
    if (complete_) {
      complete_ = false;
      receiving_ = false;
      http_parser_pause(&parser_, 0);
      keep_alive_ = http_should_keep_alive(&parser_) != 0;
      message_.method = http_method_str(static_cast<http_method>(parser_.method));
      awaiting_reply_ = true;
      request_id_ = server_.next_id_++;
      server_.requests_[request_id_] = id_;
      server_.handler_(request_id_, std::move(message_));
      return;
    }
    if (error != HPE_OK || parser_.upgrade) {
      const int status = error_status_ ? error_status_ : 400;
      send(status, R"({"error":"malformed or too large"})", 0, true);
      return;
    }
    read();
  }

  void send(int status, const std::string& body, int retry_after_s, bool close_after) {
    reply_text_ = response_head(status, body.size(), retry_after_s, close_after) + body;
    // This write nearly always sends the whole reply.
    std::error_code error;
    const std::size_t n = socket_.write_some(asio::buffer(reply_text_), error);
    if (error && error != asio::error::would_block) {
      close();
      return;
    }
    if (!error && n == reply_text_.size()) {
      finish_reply(close_after);
      return;
    }
    asio::async_write(
        socket_, asio::buffer(reply_text_) + n,
        [self = shared_from_this(), close_after](std::error_code failed, std::size_t) {
          failed ? self->close() : self->finish_reply(close_after);
        });
  }

  void finish_reply(bool close_after) {
    if (close_after) {
      close();
      return;
    }
    last_active_at_ = Clock::now();
    if (pending_.empty()) {
      enter_idle_list();
      read();
      return;
    }
    // Parses pipelined requests. Posted, so that a client that pipelines many of them cannot make
    // the stack grow.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      if (!self->closed_) self->parse();
    });
  }

  HttpServer& server_;
  std::uint64_t id_;
  tcp::socket socket_;
  http_parser parser_{};
  std::string pending_, reply_text_;
  Request message_;
  std::size_t header_bytes_ = 0;
  int error_status_ = 0;
  bool complete_ = false, receiving_ = false, awaiting_reply_ = false, keep_alive_ = true,
       closed_ = false;
  std::uint64_t request_id_ = 0;
  Clock::time_point last_active_at_;
  // In HttpServer::idle_; empty if the connection isn't idle.
  std::optional<std::list<std::uint64_t>::iterator> idle_position_;
};

HttpServer::HttpServer(asio::io_context& io, const tcp::endpoint& listen, int max_connections,
                       Handler handler)
    : io_(io),
      acceptor_(io),
      expiry_timer_(io),
      accept_pause_(io),
      max_connections_(max_connections),
      handler_(std::move(handler)) {
  acceptor_.open(listen.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(listen);
  acceptor_.listen();
  accept();
  close_expired();
}

HttpServer::~HttpServer() = default;

void HttpServer::accept() {
  acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {
      // Usually the process has no sockets left. The pause avoids a busy loop.
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
    const std::uint64_t id = next_id_++;
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
  const auto oldest = found->second;  // keeps the connection alive while it closes
  if (Clock::now() - oldest->last_active_at() <= milliseconds(limits::kMinIdleBeforeEvictionMs))
    return false;
  oldest->close();
  return true;
}

bool HttpServer::nearly_full() const {
  return static_cast<double>(connections_.size()) > limits::kNearlyFullShare * max_connections_;
}

void HttpServer::close_expired() {
  expiry_timer_.expires_after(milliseconds(limits::kTimeoutCheckIntervalMs));
  expiry_timer_.async_wait([this](std::error_code error) {
    if (error) return;
    std::vector<std::shared_ptr<Connection>> expired;
    const auto now = Clock::now();
    for (auto& [id, c] : connections_) {
      if (c->awaiting_reply()) continue;
      const auto timeout =
          milliseconds(c->idle() ? limits::kServerIdleTimeoutMs : limits::kServerRequestTimeoutMs);
      if (now - c->last_active_at() > timeout) expired.push_back(c);
    }
    for (auto& c : expired) c->close();
    close_expired();
  });
}

void HttpServer::remove_connection(std::uint64_t connection) {
  auto it = connections_.find(connection);
  if (it == connections_.end()) return;
  requests_.erase(it->second->request_id());
  connections_.erase(it);
}

void HttpServer::reply(std::uint64_t id, int status, const std::string& body, int retry_after_s) {
  auto it = requests_.find(id);
  if (it == requests_.end()) return;
  auto c = connections_.find(it->second);
  requests_.erase(it);
  if (c == connections_.end()) return;
  const auto connection = c->second;  // keeps the connection alive while it replies
  connection->reply(status, body, retry_after_s);
}

}  // namespace scheduler::net
