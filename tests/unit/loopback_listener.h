/* A listening TCP socket on the loopback address, for servers of tests. */
#ifndef LOOPBACK_LISTENER_H
#define LOOPBACK_LISTENER_H

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

class LoopbackListener {
  public:
    LoopbackListener()
    {
        sockaddr_in name = {};
        socklen_t size = sizeof(name);
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        EXPECT_EQ(bind(fd_, (sockaddr *)&name, size), 0);
        EXPECT_EQ(listen(fd_, 8), 0);
        EXPECT_EQ(getsockname(fd_, (sockaddr *)&name, &size), 0);
        address = "127.0.0.1:" + std::to_string(ntohs(name.sin_port));
    }
    ~LoopbackListener()
    {
        (void)close(fd_);
    }
    /* Returns the next connection, or -1 after stop(). */
    int accept_next()
    {
        return accept(fd_, nullptr, nullptr);
    }
    void stop()
    {
        (void)shutdown(fd_, SHUT_RDWR);
    }

    std::string address; /* IPv4:port */

  private:
    int fd_;
};

#endif
