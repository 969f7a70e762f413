/* Preloaded library without the kernel's stamps of arriving input, as on a system that does not support them. */
#include "preload.h"

/* Refuses both options that turn the stamps on, as Linux refuses unknown ones. */
int setsockopt(int fd, int level, int name, const void *value, socklen_t length) {
    NEXT("setsockopt", int (*next)(int, int, int, const void *, socklen_t));
    if (level == SOL_SOCKET && (name == SO_TIMESTAMPNS || name == SO_TIMESTAMP)) {
        errno = ENOPROTOOPT;
        return -1;
    }
    return next(fd, level, name, value, length);
}
