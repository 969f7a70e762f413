/* Preloaded library that shortens some reads and writes on TCP connections to 1 to 20 bytes and interrupts others with
 * EINTR, as Linux may do at any time. SHORT_IO_PERCENT is the share of shortened calls in percent, and
 * INTERRUPTED_IO_PERCENT that of interrupted ones. */
#include "preload.h"

static int is_hit(const char *variable) {
    return draw() % 100 < (unsigned long long)setting(variable);
}

/* Returns 0 if the call is interrupted, and otherwise its length, which may be shortened. */
static size_t planned_length(int fd, size_t length, int may_shorten) {
    if (length == 0 || !is_tcp(fd)) return length;
    if (is_hit("INTERRUPTED_IO_PERCENT")) return 0;
    if (!may_shorten || !is_hit("SHORT_IO_PERCENT")) return length;
    size_t limit = 1 + draw() % 20;
    return limit < length ? limit : length;
}

#define FORWARD(name, type, may_shorten, ...)                                  \
    NEXT(name, ssize_t(*next) type);                                           \
    size_t planned = planned_length(fd, length, may_shorten);                  \
    if (planned == 0 && length > 0) {                                          \
        errno = EINTR;                                                         \
        return -1;                                                             \
    }                                                                          \
    return next(fd, buffer, planned, ##__VA_ARGS__)

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    FORWARD("recv", (int, void *, size_t, int), !(flags & MSG_PEEK), flags);
}

ssize_t recvmsg(int fd, struct msghdr *message, int flags) {
    NEXT("recvmsg", ssize_t (*next)(int, struct msghdr *, int));
    struct iovec *part = message->msg_iov;
    if (message->msg_iovlen != 1) return next(fd, message, flags);
    size_t length = part->iov_len;
    size_t planned = planned_length(fd, length, !(flags & MSG_PEEK));
    if (planned == 0 && length > 0) {
        errno = EINTR;
        return -1;
    }
    part->iov_len = planned;
    ssize_t received = next(fd, message, flags);
    part->iov_len = length;
    return received;
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    FORWARD("send", (int, const void *, size_t, int), 1, flags);
}

ssize_t read(int fd, void *buffer, size_t length) {
    FORWARD("read", (int, void *, size_t), 1);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    FORWARD("write", (int, const void *, size_t), 1);
}
