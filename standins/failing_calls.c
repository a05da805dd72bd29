/* Injects failures into the system calls of a process and steps its wall clock; loaded with LD_PRELOAD.
 *
 * FAILING_CALLS   rules CALL:ERRNO:FROM_MS:TO_MS:PER_MILLE, separated by ';'; times count from the load. CALL
 *                 is accept, connect, socket, read or write; ERRNO 0 makes a read or write short, any other
 *                 ERRNO of a read or write breaks the connection.
 * CLOCK_STEPS     steps AT_MS:SECONDS of CLOCK_REALTIME, separated by ';'; the steps that are due add up.
 * FAILING_SEED    seed of the random numbers.
 * FAILING_COUNTS  file of 64-bit counters, one for each rule and one for reads of a stepped clock.
 * SEND_BUFFER     SO_SNDBUF of the connections that this process opens, in bytes; 0: the kernel's choice.
 * SEGMENT         TCP_MAXSEG of the same connections, in bytes; loopback's segments are far larger than others'.
 *
 * Only AF_INET sockets are affected, and only connections opened by this process are broken: a client whose
 * connection breaks cannot tell whether its request ran, whatever this process does. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum { MAX_RULES = 16, MAX_STEPS = 8, MAX_IOVECS = 64, MAX_DESCRIPTORS = 65536 };

struct rule { char call[16]; int error; long from_ms, to_ms, per_mille; };
struct step { long at_ms; long seconds; };

static struct rule rules[MAX_RULES];
static struct step steps[MAX_STEPS];
static int rule_count, step_count;
static int send_buffer, segment;
static uint64_t *counts;
static unsigned char opened_here[MAX_DESCRIPTORS];
static uint64_t random_state = 1;
static struct timespec loaded_at;
static int (*real_clock_gettime)(clockid_t, struct timespec *);

static long now_ms(void) {
    struct timespec now;
    real_clock_gettime(CLOCK_MONOTONIC, &now);
    return (now.tv_sec - loaded_at.tv_sec) * 1000 + (now.tv_nsec - loaded_at.tv_nsec) / 1000000;
}

__attribute__((constructor)) static void load(void) {
    real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    real_clock_gettime(CLOCK_MONOTONIC, &loaded_at);
    char *text = getenv("FAILING_CALLS"), *position = NULL;
    for (char *part = text ? strtok_r(strdup(text), ";", &position) : NULL; part && rule_count < MAX_RULES;
         part = strtok_r(NULL, ";", &position)) {
        struct rule *rule = &rules[rule_count];
        if (sscanf(part, "%15[^:]:%d:%ld:%ld:%ld", rule->call, &rule->error, &rule->from_ms, &rule->to_ms,
                   &rule->per_mille) != 5) abort();
        rule_count++;
    }
    text = getenv("CLOCK_STEPS");
    for (char *part = text ? strtok_r(strdup(text), ";", &position) : NULL; part && step_count < MAX_STEPS;
         part = strtok_r(NULL, ";", &position)) {
        if (sscanf(part, "%ld:%ld", &steps[step_count].at_ms, &steps[step_count].seconds) != 2) abort();
        step_count++;
    }
    text = getenv("SEND_BUFFER");
    send_buffer = text ? atoi(text) : 0;
    text = getenv("SEGMENT");
    segment = text ? atoi(text) : 0;
    text = getenv("FAILING_SEED");
    random_state = (text ? strtoull(text, NULL, 10) : 0) * 2654435761u + 88172645463325252u;
    int counts_fd = open(getenv("FAILING_COUNTS"), O_RDWR | O_CREAT, 0600);
    size_t size = sizeof(uint64_t) * (MAX_RULES + 1);
    if (counts_fd < 0 || ftruncate(counts_fd, size) != 0) abort();
    counts = mmap(NULL, size, PROT_READ | PROT_WRITE, MAP_SHARED, counts_fd, 0);
    if (counts == MAP_FAILED) abort();
    close(counts_fd);
}

static int is_inet(int fd) {
    struct sockaddr_storage name;
    socklen_t size = sizeof name;
    return getsockname(fd, (struct sockaddr *)&name, &size) == 0 && name.ss_family == AF_INET;
}

/* Returns the rule that applies to this call now and counts its use, or NULL. */
static struct rule *match_rule(const char *call, int may_break) {
    for (int i = 0; counts && i < rule_count; i++) {
        struct rule *rule = &rules[i];
        if (strcmp(rule->call, call) != 0 || (rule->error && !may_break)) continue;
        long now = now_ms();
        if (now < rule->from_ms || now >= rule->to_ms) continue;
        random_state ^= random_state << 13;
        random_state ^= random_state >> 7;
        random_state ^= random_state << 17;
        if ((long)(random_state % 1000) >= rule->per_mille) continue;
        __atomic_add_fetch(&counts[i], 1, __ATOMIC_RELAXED);
        return rule;
    }
    return NULL;
}

static int inject_failure(const char *call) {
    struct rule *rule = match_rule(call, 1);
    if (rule) errno = rule->error;
    return rule != NULL;
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

static int mark_accepted(int fd) {
    if (fd >= 0 && fd < MAX_DESCRIPTORS) opened_here[fd] = 0;
    return fd;
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    if (is_inet(fd) && inject_failure("accept")) return -1;
    return mark_accepted(REAL(accept4)(fd, address, size, flags));
}

int accept(int fd, struct sockaddr *address, socklen_t *size) {
    if (is_inet(fd) && inject_failure("accept")) return -1;
    return mark_accepted(REAL(accept)(fd, address, size));
}

static void limit_buffers(int fd) {
    if (send_buffer) setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &send_buffer, sizeof send_buffer);
    if (segment) setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    if (address->sa_family == AF_INET && inject_failure("connect")) return -1;
    if (address->sa_family == AF_INET) limit_buffers(fd);
    if (fd < MAX_DESCRIPTORS) opened_here[fd] = 1;
    return REAL(connect)(fd, address, size);
}

int socket(int domain, int type, int protocol) {
    if (domain == AF_INET && inject_failure("socket")) return -1;
    return REAL(socket)(domain, type, protocol);
}

/* Returns how many bytes a call may transfer, or 0 with errno set if the call fails. */
static size_t allowed_bytes(int fd, const char *call, size_t requested) {
    struct rule *rule =
        requested > 1 && is_inet(fd) ? match_rule(call, fd < MAX_DESCRIPTORS && opened_here[fd]) : NULL;
    if (!rule) return requested;
    if (!rule->error) return requested > 4096 ? 4096 : (requested + 1) / 2;
    shutdown(fd, SHUT_RDWR);
    errno = rule->error;
    return 0;
}

ssize_t read(int fd, void *data, size_t size) {
    size_t allowed = allowed_bytes(fd, "read", size);
    return size && !allowed ? -1 : REAL(read)(fd, data, allowed);
}

ssize_t recv(int fd, void *data, size_t size, int flags) {
    size_t allowed = flags & MSG_PEEK ? size : allowed_bytes(fd, "read", size);
    return size && !allowed ? -1 : REAL(recv)(fd, data, allowed, flags);
}

ssize_t write(int fd, const void *data, size_t size) {
    size_t allowed = allowed_bytes(fd, "write", size);
    return size && !allowed ? -1 : REAL(write)(fd, data, allowed);
}

ssize_t send(int fd, const void *data, size_t size, int flags) {
    size_t allowed = allowed_bytes(fd, "write", size);
    return size && !allowed ? -1 : REAL(send)(fd, data, allowed, flags);
}

ssize_t writev(int fd, const struct iovec *vectors, int count) {
    size_t total = 0;
    for (int i = 0; i < count; i++) total += vectors[i].iov_len;
    size_t allowed = allowed_bytes(fd, "write", total);
    if (total && !allowed) return -1;
    if (allowed == total || count > MAX_IOVECS) return REAL(writev)(fd, vectors, count);
    struct iovec shortened[MAX_IOVECS];
    int used = 0;
    for (; used < count && allowed; used++) {
        shortened[used] = vectors[used];
        if (shortened[used].iov_len > allowed) shortened[used].iov_len = allowed;
        allowed -= shortened[used].iov_len;
    }
    return REAL(writev)(fd, shortened, used);
}

static long clock_offset_s(void) {
    long seconds = 0, now = step_count ? now_ms() : 0;
    for (int i = 0; i < step_count; i++)
        if (now >= steps[i].at_ms) seconds += steps[i].seconds;
    if (seconds && counts) __atomic_add_fetch(&counts[MAX_RULES], 1, __ATOMIC_RELAXED);
    return seconds;
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    if (!real_clock_gettime) real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    int result = real_clock_gettime(clock, now);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
        now->tv_sec += clock_offset_s();
    return result;
}

int gettimeofday(struct timeval *now, void *zone) {
    int result = REAL(gettimeofday)(now, zone);
    if (result == 0) now->tv_sec += clock_offset_s();
    return result;
}
