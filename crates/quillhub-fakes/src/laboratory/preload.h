/* What the preloaded libraries share: draws that FAULT_SEED determines, the function that a library replaces, and which
 * descriptors are TCP connections. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

/* Declares `next`, of `type`, as the replaced function. */
#define NEXT(name, type)                                                       \
    static type;                                                               \
    if (next == NULL) next = dlsym(RTLD_NEXT, name)

static inline unsigned long long draw(void) {
    static unsigned long long state;
    if (state == 0) state = strtoull(getenv("FAULT_SEED"), NULL, 10) * 2 + 1;
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return state >> 33;
}

/* Returns the value of a variable, a number. */
static inline long long setting(const char *variable) {
    const char *value = getenv(variable);
    return value == NULL ? 0 : strtoll(value, NULL, 10);
}

/* Returns whether the descriptor is a TCP socket of IPv4. Other sockets carry the signals within a process, where Linux
 * interrupts no write that would not block. */
static inline int is_tcp(int fd) {
    int domain = 0, type = 0;
    socklen_t length = sizeof domain;
    if (getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) != 0) return 0;
    length = sizeof type;
    return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0 && domain == AF_INET && type == SOCK_STREAM;
}
