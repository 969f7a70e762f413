/* Preloaded library that sets the wall clock of a process WALL_CLOCK_OFFSET_S seconds forward, or back if that is
 * negative. All other clocks stay as they are. */
#include "preload.h"
#include <time.h>

int clock_gettime(clockid_t clock, struct timespec *result) {
    NEXT("clock_gettime", int (*next)(clockid_t, struct timespec *));
    int status = next(clock, result);
    if (status == 0 && clock == CLOCK_REALTIME) result->tv_sec += setting("WALL_CLOCK_OFFSET_S");
    return status;
}
