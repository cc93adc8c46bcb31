/* Loaded with LD_PRELOAD into a process under test. System calls on sockets fail with transient errors or transfer
 * only a part of the data, with a configured probability:
 *
 *   PINTALLY_FAULTS        "seed permille": the seed, and how many of 1000 calls are affected.
 *   PINTALLY_FAULTS_ONLY   Affects only this call: "call" makes it fail, "call:short" makes its transfers partial.
 *                          Without it all calls are affected.
 *   PINTALLY_FAULTS_WHILE  A file; calls are affected only while it exists. Without it they always are.
 *   PINTALLY_CLOCK_SHIFT   Shifts the wall clock by this many seconds. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

static uint64_t rng_state;
static unsigned permille;

static void init_rng(void) {
    if (rng_state != 0) return;
    unsigned long seed = 1;
    const char *setting = getenv("PINTALLY_FAULTS");
    if (setting != NULL) sscanf(setting, "%lu %u", &seed, &permille);
    rng_state = seed * 0x9e3779b97f4a7c15u | 1;
}

static uint32_t draw(uint32_t below) {
    init_rng();
    rng_state ^= rng_state << 13;
    rng_state ^= rng_state >> 7;
    rng_state ^= rng_state << 17;
    return (uint32_t)(rng_state >> 32) % below;
}

static int fails(const char *call) {
    const char *only = getenv("PINTALLY_FAULTS_ONLY");
    if (only != NULL && strcmp(only, call) != 0) return 0;
    if (draw(1000) >= permille) return 0;
    const char *file = getenv("PINTALLY_FAULTS_WHILE");
    return file == NULL || access(file, F_OK) == 0;
}

static int fail_with(const int *errors, unsigned count) {
    errno = errors[draw(count)];
    return -1;
}

#define REAL(type, name, ...) \
    static type (*real)(__VA_ARGS__); \
    if (real == NULL) real = (type (*)(__VA_ARGS__))dlsym(RTLD_NEXT, #name)

int clock_gettime(clockid_t clock, struct timespec *now) {
    REAL(int, clock_gettime, clockid_t, struct timespec *);
    int done = real(clock, now);
    const char *shift = clock == CLOCK_REALTIME ? getenv("PINTALLY_CLOCK_SHIFT") : NULL;
    if (done == 0 && shift != NULL) now->tv_sec += atol(shift);
    return done;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static const int errors[] = {ECONNABORTED, ENFILE, ENOBUFS, EINTR, EMFILE, EPROTO, ENOMEM};
    REAL(int, accept4, int, struct sockaddr *, socklen_t *, int);
    if (fails("accept4")) return fail_with(errors, sizeof errors / sizeof *errors);
    return real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    static const int errors[] = {ENFILE, ENOBUFS, EMFILE, ENOMEM};
    REAL(int, socket, int, int, int);
    if (domain == AF_INET && fails("socket")) return fail_with(errors, sizeof errors / sizeof *errors);
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static const int errors[] = {ENETUNREACH, EADDRNOTAVAIL, EHOSTUNREACH, ENOBUFS};
    REAL(int, connect, int, const struct sockaddr *, socklen_t);
    if (fails("connect")) return fail_with(errors, sizeof errors / sizeof *errors);
    return real(fd, address, length);
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    REAL(ssize_t, recv, int, void *, size_t, int);
    if (fails("recv")) {
        errno = EINTR;
        return -1;
    }
    if (length > 1 && fails("recv:short")) length = 1 + draw(length < 64 ? (uint32_t)length : 64);
    return real(fd, buffer, length, flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    REAL(ssize_t, send, int, const void *, size_t, int);
    if (fails("send")) {
        errno = EINTR;
        return -1;
    }
    if (length > 1 && fails("send:short")) length = 1 + draw((uint32_t)length);
    return real(fd, buffer, length, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(ssize_t, writev, int, const struct iovec *, int);
    if (fails("writev")) {
        errno = EINTR;
        return -1;
    }
    if (count > 0 && parts[0].iov_len > 1 && fails("writev:short")) {
        struct iovec part = {parts[0].iov_base, 1 + draw((uint32_t)parts[0].iov_len)};
        return real(fd, &part, 1);
    }
    return real(fd, parts, count);
}
