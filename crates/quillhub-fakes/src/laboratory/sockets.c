/* Preloaded library that makes some calls on Internet sockets fail for a moment, as Linux documents: accept, socket and
 * connect, and reads and writes on connections that break.
 *
 * SOCKET_FAULT_PERCENT is the share of failed calls of accept, socket and connect during the first FAULTY_MS of each
 * PERIOD_MS, and BROKEN_CONNECTION_PERMILLE that of reads and writes on connections. An operation that is repeated more
 * often than every PERIOD_MS - FAULTY_MS therefore fails for at most FAULTY_MS. */
#include "preload.h"
#include <time.h>

#define PERIOD_MS 200
#define FAULTY_MS 110

#define COUNT(list) (sizeof(list) / sizeof *(list))
/* Fails the calling function with one of the errors if the share says so. */
#define MAY_FAIL(variable, scale, ...)                                         \
    do {                                                                       \
        static const int errors[] = {__VA_ARGS__};                             \
        if (draw() % (scale) < (unsigned long long)setting(variable)) {        \
            errno = errors[draw() % COUNT(errors)];                            \
            return -1;                                                         \
        }                                                                      \
    } while (0)

/* Returns whether calls of accept, socket and connect may fail now. */
static int is_faulty(void) {
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (now.tv_sec * 1000LL + now.tv_nsec / 1000000) % PERIOD_MS < FAULTY_MS;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    NEXT("accept4", int (*next)(int, struct sockaddr *, socklen_t *, int));
    if (is_faulty()) MAY_FAIL("SOCKET_FAULT_PERCENT", 100, ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, EINTR);
    return next(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    NEXT("socket", int (*next)(int, int, int));
    if (domain == AF_INET && is_faulty()) MAY_FAIL("SOCKET_FAULT_PERCENT", 100, EMFILE, ENFILE, ENOBUFS, ENOMEM);
    return next(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    NEXT("connect", int (*next)(int, const struct sockaddr *, socklen_t));
    if (is_tcp(fd) && is_faulty()) MAY_FAIL("SOCKET_FAULT_PERCENT", 100, EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, EAGAIN);
    return next(fd, address, length);
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    NEXT("recv", ssize_t (*next)(int, void *, size_t, int));
    if (is_tcp(fd)) MAY_FAIL("BROKEN_CONNECTION_PERMILLE", 1000, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNRESET);
    return next(fd, buffer, length, flags);
}

ssize_t recvmsg(int fd, struct msghdr *message, int flags) {
    NEXT("recvmsg", ssize_t (*next)(int, struct msghdr *, int));
    if (is_tcp(fd)) MAY_FAIL("BROKEN_CONNECTION_PERMILLE", 1000, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNRESET);
    return next(fd, message, flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    NEXT("send", ssize_t (*next)(int, const void *, size_t, int));
    if (is_tcp(fd)) MAY_FAIL("BROKEN_CONNECTION_PERMILLE", 1000, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, EPIPE);
    return next(fd, buffer, length, flags);
}
