/* Preloaded library that makes some operations on the files of a directory fail, as a full or damaged disk does: writes,
 * half of the way or at once, truncations, creations, removals and renames. (An instance calls no sync.)
 *
 * STORAGE_FAULT_DIRECTORY is the directory, and STORAGE_FAULT_PERCENT the share of operations that fail while the file
 * STORAGE_FAULT_SWITCH exists. */
#include "preload.h"
#include <fcntl.h>
#include <limits.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

static int is_hit(void) {
    if (access(getenv("STORAGE_FAULT_SWITCH"), F_OK) != 0) return 0;
    return draw() % 100 < (unsigned long long)setting("STORAGE_FAULT_PERCENT");
}

static int is_in_directory(const char *path) {
    const char *directory = getenv("STORAGE_FAULT_DIRECTORY");
    return strncmp(path, directory, strlen(directory)) == 0;
}

static int is_file_in_directory(int fd) {
    char link[64], path[PATH_MAX];
    struct stat status;
    if (fstat(fd, &status) != 0 || !S_ISREG(status.st_mode)) return 0;
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    ssize_t length = readlink(link, path, sizeof path - 1);
    if (length < 0) return 0;
    path[length] = 0;
    return is_in_directory(path);
}

static int fail(int error) {
    errno = error;
    return -1;
}

ssize_t write(int fd, const void *buffer, size_t length) {
    NEXT("write", ssize_t (*next)(int, const void *, size_t));
    /* File whose last write was a part only, so that the next one fails. */
    static int full_fd = -1;
    if (length == 0 || !is_file_in_directory(fd)) return next(fd, buffer, length);
    if (fd == full_fd) {
        full_fd = -1;
        return fail(ENOSPC);
    }
    if (!is_hit()) return next(fd, buffer, length);
    size_t part = draw() % length;
    if (part == 0) return fail(ENOSPC);
    full_fd = fd;
    return next(fd, buffer, part);
}

int ftruncate64(int fd, off64_t length) {
    NEXT("ftruncate64", int (*next)(int, off64_t));
    return is_file_in_directory(fd) && is_hit() ? fail(EIO) : next(fd, length);
}

int open64(const char *path, int flags, ...) {
    NEXT("open64", int (*next)(const char *, int, ...));
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = flags & O_CREAT ? va_arg(arguments, mode_t) : 0;
    va_end(arguments);
    return flags & O_CREAT && is_in_directory(path) && is_hit() ? fail(ENOSPC) : next(path, flags, mode);
}

int unlink(const char *path) {
    NEXT("unlink", int (*next)(const char *));
    return is_in_directory(path) && is_hit() ? fail(EIO) : next(path);
}

int rename(const char *from, const char *to) {
    NEXT("rename", int (*next)(const char *, const char *));
    return is_in_directory(to) && is_hit() ? fail(EIO) : next(from, to);
}
