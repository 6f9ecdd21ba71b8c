/*
 * Shim that the soak loads into a pooler with LD_PRELOAD: system calls on sockets fail transiently, are interrupted, or
 * transfer fewer bytes than requested, with the errors that Linux documents. SYSCALL_FAULTS_SEED seeds the random choice;
 * one call in SYSCALL_FAULTS_RARITY is affected.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#define REAL(name) ((__typeof__(&name)) real(#name))
#define DEFAULT_RARITY 100

/* The next definition of a function, normally that of libc. */
static void *real(const char *name) {
    return dlsym(RTLD_NEXT, name);
}

static long setting(const char *name, long otherwise) {
    const char *text = getenv(name);
    return text == NULL ? otherwise : atol(text);
}

/* A splitmix64 step over one shared state: which thread draws which number depends on scheduling, how many are hit does not. */
static unsigned long draw(void) {
    static atomic_ulong state;
    static atomic_int begun;
    if (!atomic_exchange(&begun, 1)) {
        atomic_fetch_add(&state, (unsigned long) setting("SYSCALL_FAULTS_SEED", 1) * 0x632be59bd9b4e019UL);
    }
    unsigned long z = atomic_fetch_add(&state, 0x9e3779b97f4a7c15UL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9UL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebUL;
    return z ^ (z >> 31);
}

/* Whether this call is affected. */
static int hit(void) {
    static atomic_long rarity;
    if (rarity == 0) {
        rarity = setting("SYSCALL_FAULTS_RARITY", DEFAULT_RARITY);
    }
    return draw() % (unsigned long) rarity == 0;
}

/* Whether this call fails; sets errno to one of the errors. */
static int fails(const int *errors, int count) {
    if (!hit()) {
        return 0;
    }
    errno = errors[draw() % (unsigned long) count];
    return 1;
}

/* Whether fd is a stream socket; keeps errno. */
static int is_stream(int fd) {
    int type = 0;
    socklen_t length = sizeof type;
    int kept = errno;
    int yes = getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0 && type == SOCK_STREAM;
    errno = kept;
    return yes;
}

/* The length, or a shorter one for an affected call. */
static size_t fewer(size_t length) {
    return length > 1 && hit() ? 1 + draw() % (length - 1) : length;
}

int socket(int domain, int type, int protocol) {
    static const int errors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
    return domain == AF_INET && type % 16 == SOCK_STREAM && fails(errors, 4) ? -1 : REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static const int errors[] = {ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNREFUSED, EADDRNOTAVAIL};
    return fails(errors, 5) ? -1 : REAL(connect)(fd, address, length);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    static const int errors[] = {ECONNABORTED, EINTR, EMFILE, ENOBUFS, ENOMEM, EPROTO};
    return fails(errors, 6) ? -1 : REAL(accept)(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static const int errors[] = {ECONNABORTED, EINTR, EMFILE, ENOBUFS, ENOMEM, EPROTO};
    return fails(errors, 6) ? -1 : REAL(accept4)(fd, address, length, flags);
}

static const int interrupted[] = {EINTR};

ssize_t read(int fd, void *into, size_t length) {
    if (!is_stream(fd)) {
        return REAL(read)(fd, into, length);
    }
    return fails(interrupted, 1) ? -1 : REAL(read)(fd, into, fewer(length));
}

ssize_t recv(int fd, void *into, size_t length, int flags) {
    return fails(interrupted, 1) ? -1 : REAL(recv)(fd, into, fewer(length), flags);
}

ssize_t write(int fd, const void *from, size_t length) {
    if (!is_stream(fd)) {
        return REAL(write)(fd, from, length);
    }
    return fails(interrupted, 1) ? -1 : REAL(write)(fd, from, fewer(length));
}

ssize_t send(int fd, const void *from, size_t length, int flags) {
    return fails(interrupted, 1) ? -1 : REAL(send)(fd, from, fewer(length), flags);
}

int poll(struct pollfd *fds, nfds_t count, int timeout) {
    return fails(interrupted, 1) ? -1 : REAL(poll)(fds, count, timeout);
}
