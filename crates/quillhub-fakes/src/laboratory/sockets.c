/* Preloaded library that makes some calls on Internet sockets fail for a moment, as Linux documents: accept, socket and
 * connect, and reads and writes on connections that break.
 *
 * SOCKET_FAULT_PERCENT is the share of failed calls of accept, socket and connect, BROKEN_CONNECTION_PERMILLE that of
 * reads and writes on connections, and SOCKET_FAULT_SEED determines which. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define COUNT(list) (sizeof(list) / sizeof *(list))
#define NEXT(name, type)                                                       \
    static type;                                                               \
    if (next == NULL) next = dlsym(RTLD_NEXT, name)
/* Fails the calling function with one of the errors if the share says so. */
#define MAY_FAIL(variable, scale, ...)                                         \
    do {                                                                       \
        static const int errors[] = {__VA_ARGS__};                             \
        if (draw() % (scale) < strtoull(getenv(variable), NULL, 10)) {         \
            errno = errors[draw() % COUNT(errors)];                            \
            return -1;                                                         \
        }                                                                      \
    } while (0)

static unsigned long long state;

static unsigned long long draw(void) {
    if (state == 0) state = strtoull(getenv("SOCKET_FAULT_SEED"), NULL, 10) * 2 + 1;
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return state >> 33;
}

/* Returns whether the descriptor is a TCP connection or socket of IPv4. */
static int is_tcp(int fd) {
    int domain = 0, type = 0;
    socklen_t length = sizeof domain;
    if (getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) != 0) return 0;
    length = sizeof type;
    return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0 && domain == AF_INET && type == SOCK_STREAM;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    NEXT("accept4", int (*next)(int, struct sockaddr *, socklen_t *, int));
    MAY_FAIL("SOCKET_FAULT_PERCENT", 100, ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPROTO, EINTR);
    return next(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    NEXT("socket", int (*next)(int, int, int));
    if (domain == AF_INET) MAY_FAIL("SOCKET_FAULT_PERCENT", 100, EMFILE, ENFILE, ENOBUFS, ENOMEM);
    return next(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    NEXT("connect", int (*next)(int, const struct sockaddr *, socklen_t));
    if (is_tcp(fd)) MAY_FAIL("SOCKET_FAULT_PERCENT", 100, EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, EAGAIN);
    return next(fd, address, length);
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    NEXT("recv", ssize_t (*next)(int, void *, size_t, int));
    if (is_tcp(fd)) MAY_FAIL("BROKEN_CONNECTION_PERMILLE", 1000, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNRESET);
    return next(fd, buffer, length, flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    NEXT("send", ssize_t (*next)(int, const void *, size_t, int));
    if (is_tcp(fd)) MAY_FAIL("BROKEN_CONNECTION_PERMILLE", 1000, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, EPIPE);
    return next(fd, buffer, length, flags);
}
