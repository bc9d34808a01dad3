/* Fault injection for one process, loaded by LD_PRELOAD: system calls that fail for a moment as Linux documents, reads
 * and writes that come short, and a wall clock that is stepped while the monotonic one runs on.
 *
 * GLADEGW_FAULTS=SEED:SHARE:AFTER   of the calls fail or come short, from AFTER seconds on (fractions allowed)
 * GLADEGW_CLOCK=AT=STEP,AT=STEP     at so many seconds of the process's life the wall clock is so many ahead or behind
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MOST_STEPS 16

static uint64_t draws;
static double share, begins;
static struct timespec started;
static double step_at[MOST_STEPS], step_by[MOST_STEPS];
static int steps;
static int (*real_clock)(clockid_t, struct timespec *);

#define REAL(name) \
    static __typeof__(name) *real; \
    if (real == NULL) \
        real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)

__attribute__((constructor)) static void load(void) {
    real_clock = (int (*)(clockid_t, struct timespec *))dlsym(RTLD_NEXT, "clock_gettime");
    real_clock(CLOCK_MONOTONIC, &started);
    const char *faults = getenv("GLADEGW_FAULTS");
    unsigned long long seed = 0;
    if (faults != NULL && sscanf(faults, "%llu:%lf:%lf", &seed, &share, &begins) == 3)
        draws = seed * 2862933555777941757ULL + 3037000493ULL;
    const char *clock = getenv("GLADEGW_CLOCK");
    while (clock != NULL && steps < MOST_STEPS && sscanf(clock, "%lf=%lf", &step_at[steps], &step_by[steps]) == 2) {
        steps++;
        while (*clock != 0 && *clock != ',')
            clock++;
        clock = *clock == ',' ? clock + 1 : NULL;
    }
}

static double life(void) {
    struct timespec now;
    real_clock(CLOCK_MONOTONIC, &now);
    return (double)(now.tv_sec - started.tv_sec) + (double)(now.tv_nsec - started.tv_nsec) / 1e9;
}

static uint64_t draw(void) {
    draws = draws * 6364136223846793005ULL + 1442695040888963407ULL;
    return draws >> 33;
}

/* Whether this call is one that fails. */
static int hit(void) {
    return share > 0 && (double)draw() < share * 2147483648.0 && life() >= begins;
}

static int fail(const int *faults, int count) {
    errno = faults[draw() % (uint64_t)count];
    return -1;
}

static size_t shorter(size_t length) {
    return length > 1 ? 1 + draw() % (length / 2 + 1) : length;
}

static const int accept_faults[] = {ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM, EINTR, EAGAIN, EPROTO, EPERM};
static const int socket_faults[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
static const int connect_faults[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EINTR, ETIMEDOUT, EHOSTUNREACH};
static const int stream_faults[] = {EINTR, EAGAIN};

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    return hit() ? fail(accept_faults, 9) : real(fd, address, length, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(accept);
    return hit() ? fail(accept_faults, 9) : real(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    return hit() ? fail(socket_faults, 4) : real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    return hit() ? fail(connect_faults, 6) : real(fd, address, length);
}

static int is_stream(int fd) {
    int type = 0;
    socklen_t length = sizeof type;
    return getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0 && type == SOCK_STREAM;
}

ssize_t recv(int fd, void *into, size_t length, int flags) {
    REAL(recv);
    if (!(flags & MSG_PEEK) && hit())
        return draw() % 2 ? fail(stream_faults, 2) : real(fd, into, shorter(length), flags);
    return real(fd, into, length, flags);
}

ssize_t read(int fd, void *into, size_t length) {
    REAL(read);
    if (hit() && is_stream(fd))
        return draw() % 2 ? fail(stream_faults, 2) : real(fd, into, shorter(length));
    return real(fd, into, length);
}

ssize_t write(int fd, const void *from, size_t length) {
    REAL(write);
    if (hit() && is_stream(fd))
        return draw() % 2 ? fail(stream_faults, 2) : real(fd, from, shorter(length));
    return real(fd, from, length);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (count > 0 && hit() && is_stream(fd))
        return draw() % 2 ? fail(stream_faults, 2) : write(fd, parts[0].iov_base, shorter(parts[0].iov_len));
    return real(fd, parts, count);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait);
    if (hit()) {
        errno = EINTR;
        return -1;
    }
    return real(fd, events, most, timeout);
}

int epoll_pwait(int fd, struct epoll_event *events, int most, int timeout, const sigset_t *mask) {
    REAL(epoll_pwait);
    if (hit()) {
        errno = EINTR;
        return -1;
    }
    return real(fd, events, most, timeout, mask);
}

int clock_gettime(clockid_t which, struct timespec *into) {
    int done = real_clock(which, into);
    if (done == 0 && which == CLOCK_REALTIME && steps > 0) {
        double at = life(), by = 0;
        for (int step = 0; step < steps; step++)
            if (at >= step_at[step])
                by = step_by[step];
        into->tv_sec += (time_t)by;
    }
    return done;
}
