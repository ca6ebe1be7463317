#include "net/http_client.h"

#include <http_parser.h>

#include <algorithm>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <chrono>

#include "net/address.h"
#include "net/limits.h"

namespace scheduler::net {

using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpClient& client, std::string address)
      : client_(client), address_(std::move(address)), socket_(client.io_), timer_(client.io_) {}

  void start(const Request& request, Done done, bool connect_first) {
    done_ = std::move(done);
    request_text_ = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + address_ + "\r\n";
    if (!request.body.empty() || request.method != "GET") {
      request_text_ += "Content-Type: application/json\r\nContent-Length: " +
                       std::to_string(request.body.size()) + "\r\n";
    }
    request_text_ += "\r\n" + request.body;
    status_ = kNoReply;
    too_large_ = false;
    body_.clear();
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    timer_.expires_after(milliseconds(request.timeout_ms));
    timer_.async_wait(
        [self = shared_from_this(), request_number = ++request_number_](std::error_code error) {
          if (!error && request_number == self->request_number_ && self->done_) self->fail();
        });
    if (!connect_first) {
      write();
      return;
    }
    const auto endpoint = parse_endpoint(address_);
    if (!endpoint) {
      asio::post(client_.io_, [self = shared_from_this()] { self->fail(); });
      return;
    }
    socket_.async_connect(*endpoint, [self = shared_from_this()](std::error_code error) {
      if (error) {
        self->fail();
        return;
      }
      std::error_code ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->socket_.non_blocking(true, ignored);
      self->read();
      self->write();
    });
  }

  bool is_open() const { return !closed_; }
  Clock::time_point idle_since() const { return idle_since_; }
  void close() {
    closed_ = true;
    std::error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
  }

 private:
  void fail() {
    const int status = too_large_ ? kTooLarge : kNoReply;
    close();
    finish(status, "");
  }

  void finish(int status, std::string body) {
    ++request_number_;
    timer_.cancel();
    if (!done_) return;
    Done done = std::move(done_);
    done_ = nullptr;
    done(status, std::move(body));
  }

  void write() {
    std::error_code error;
    const std::size_t n = socket_.write_some(asio::buffer(request_text_), error);
    if (!error && n == request_text_.size()) return;
    if (error && error != asio::error::would_block) {
      // Posted, so that send() returns before the callback runs.
      asio::post(client_.io_, [self = shared_from_this(), request_number = request_number_] {
        if (request_number == self->request_number_) self->fail();
      });
      return;
    }
    asio::async_write(socket_, asio::buffer(request_text_) + n,
                      [self = shared_from_this()](std::error_code failed, std::size_t) {
                        if (failed) self->fail();
                      });
  }

  // Waits for data also while the connection is idle, so that a close by the server is detected
  // before the connection is reused.
  void read() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](std::error_code error) {
      if (self->closed_) return;
      std::size_t n = 0;
      if (!error) n = self->socket_.read_some(asio::buffer(self->client_.buffer_), error);
      if (error == asio::error::would_block) {
        self->read();
        return;
      }
      self->handle_read(error, n);
    });
  }

  void handle_read(std::error_code error, std::size_t n) {
    if (closed_) return;
    if (!done_) {  // idle: the server may only close it, any data is an error
      close();
      return;
    }
    if (error) {
      http_parser_execute(&parser_, &settings(), nullptr, 0);
      if (!complete_) {
        fail();
        return;
      }
    } else {
      http_parser_execute(&parser_, &settings(), client_.buffer_.data(), n);
      if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || parser_.upgrade) {
        fail();
        return;
      }
    }
    if (!complete_) {
      read();
      return;
    }
    complete_ = false;
    const bool reusable = !error && http_should_keep_alive(&parser_) != 0;
    auto& idle = client_.idle_[address_];
    if (reusable && idle.size() < limits::kMaxIdlePerAddress &&
        client_.idle_count_ < client_.limits_.idle_connections) {
      idle_since_ = Clock::now();
      ++client_.idle_count_;
      idle.push_back(shared_from_this());
      read();
    } else {
      close();
    }
    finish(status_, std::move(body_));
  }

  static const http_parser_settings& settings() {
    static const http_parser_settings s = [] {
      http_parser_settings callbacks;
      http_parser_settings_init(&callbacks);
      callbacks.on_headers_complete = [](http_parser* p) {
        static_cast<Connection*>(p->data)->status_ = static_cast<int>(p->status_code);
        return 0;
      };
      callbacks.on_body = [](http_parser* p, const char* at, std::size_t n) {
        auto& self = *static_cast<Connection*>(p->data);
        self.too_large_ = self.body_.size() + n > self.client_.limits_.response_bytes;
        if (self.too_large_) return 1;
        self.body_.append(at, n);
        return 0;
      };
      callbacks.on_message_complete = [](http_parser* p) {
        static_cast<Connection*>(p->data)->complete_ = true;
        return 0;
      };
      return callbacks;
    }();
    return s;
  }

  HttpClient& client_;
  std::string address_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  http_parser parser_{};
  std::string request_text_, body_;
  int status_ = 0;
  bool complete_ = false, closed_ = false, too_large_ = false;
  std::uint64_t request_number_ = 0;
  Done done_;
  Clock::time_point idle_since_;
};

HttpClient::HttpClient(asio::io_context& io, const Limits& limits)
    : io_(io), expiry_timer_(io), limits_(limits) {
  close_expired();
}
HttpClient::~HttpClient() = default;

void HttpClient::close_expired() {
  expiry_timer_.expires_after(milliseconds(limits::kTimeoutCheckIntervalMs));
  expiry_timer_.async_wait([this](std::error_code error) {
    if (error) return;
    const auto oldest = Clock::now() - milliseconds(limits::kClientIdleTimeoutMs);
    for (auto& [address, connections] : idle_) {
      std::erase_if(connections, [&](const auto& c) {
        if (c->is_open() && c->idle_since() >= oldest) return false;
        c->close();
        --idle_count_;
        return true;
      });
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
    close_expired();
  });
}

void HttpClient::send(const Request& request, Done done) {
  auto& idle = idle_[request.address];
  while (!idle.empty()) {
    auto connection = idle.back();
    idle.pop_back();
    --idle_count_;
    if (!connection->is_open()) continue;
    connection->start(request, std::move(done), false);
    return;
  }
  std::make_shared<Connection>(*this, request.address)->start(request, std::move(done), true);
}

}  // namespace scheduler::net
