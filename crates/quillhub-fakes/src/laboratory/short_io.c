/* Preloaded library that shortens some reads and writes on sockets to 1 to 20 bytes, as Linux may do at any time.
 * SHORT_IO_PERCENT is the share of calls in percent, SHORT_IO_SEED determines which. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

static unsigned long long state;

static size_t shortened(int fd, size_t length) {
    const char *percent = getenv("SHORT_IO_PERCENT");
    struct stat status;
    if (percent == NULL || length == 0 || fstat(fd, &status) != 0 || !S_ISSOCK(status.st_mode)) return length;
    if (state == 0) state = strtoull(getenv("SHORT_IO_SEED"), NULL, 10) * 2 + 1;
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    if ((state >> 33) % 100 >= strtoull(percent, NULL, 10)) return length;
    size_t limit = 1 + (state >> 40) % 20;
    return limit < length ? limit : length;
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    static ssize_t (*next)(int, void *, size_t, int);
    if (next == NULL) next = dlsym(RTLD_NEXT, "recv");
    return next(fd, buffer, (flags & MSG_PEEK) ? length : shortened(fd, length), flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    static ssize_t (*next)(int, const void *, size_t, int);
    if (next == NULL) next = dlsym(RTLD_NEXT, "send");
    return next(fd, buffer, shortened(fd, length), flags);
}

ssize_t read(int fd, void *buffer, size_t length) {
    static ssize_t (*next)(int, void *, size_t);
    if (next == NULL) next = dlsym(RTLD_NEXT, "read");
    return next(fd, buffer, shortened(fd, length));
}

ssize_t write(int fd, const void *buffer, size_t length) {
    static ssize_t (*next)(int, const void *, size_t);
    if (next == NULL) next = dlsym(RTLD_NEXT, "write");
    return next(fd, buffer, shortened(fd, length));
}
