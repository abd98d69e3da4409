/* bench_links: opens the connections of up to 512 sidecars to a running entry,
   the number doubled in each step, and prints the entry's resident memory
   after each as "link_kib COUNT KIB". Arguments: the entry's link address and
   process id. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "mb_cleanup.h"
#include "mb_frame.h"
#include "mb_link.h"
#include "mb_settings.h"

#define LINKS_MAX 512
/* Time for the entry to process all messages of one step, in microseconds. */
#define SETTLE_US 400000

/* Connects as a sidecar: sends HELLO and CREDIT on a new connection, which
   stays open until the bench ends. */
static void
attach(uint32_t ip, uint16_t port, uint64_t process)
{
    MB_AUTO_BUF mb_buf_t out = {0};
    mb_message_t hello = {.type = MB_MESSAGE_HELLO};
    mb_message_t credit = {.type = MB_MESSAGE_CREDIT};
    hello.body.hello = (mb_hello_t){MB_PROTOCOL_VERSION,
                                    process,
                                    1,
                                    MB_ROLE_SIDECAR,
                                    MB_STR_LIT("north-a"),
                                    MB_STR_LIT("search"),
                                    8};
    credit.body.credit = (mb_credit_t){8, 0, 0};
    mb_frame_encode(&out, &hello);
    mb_frame_encode(&out, &credit);
    int fd = mb_tcp_connect(ip, port, NULL);
    for (int tries = 0; tries < 1000; tries++) {
        if (send(fd, out.data, out.len, MSG_NOSIGNAL) == (ssize_t)out.len) {
            return;
        }
        (void)usleep(1000);
    }
    (void)fprintf(stderr, "bench_links: cannot attach\n");
    exit(1);
}

/* Returns the resident memory of a process in KiB. */
static unsigned long
resident_kib(const char *pid)
{
    char path[64];
    char line[256];
    unsigned long kib = 0;
    (void)snprintf(path, sizeof(path), "/proc/%s/status", pid);
    FILE *file = fopen(path, "re");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (strncmp(line, "VmRSS:", 6) == 0) {
            kib = strtoul(line + 6, NULL, 10);
        }
    }
    if (file != NULL) {
        (void)fclose(file);
    }
    return kib;
}

int
main(int argc, char **argv)
{
    uint32_t ip;
    uint16_t port;
    uint32_t count = 0;
    if (argc != 3 ||
        !mb_address_parse(mb_str_from_cstr(argv[1]), &ip, &port)) {
        (void)fprintf(stderr, "usage: bench_links IPv4:port PID\n");
        return 2;
    }
    for (uint32_t step = 16; step <= LINKS_MAX; step *= 2) {
        while (count < step) {
            attach(ip, port, ++count);
        }
        (void)usleep(SETTLE_US);
        (void)printf("link_kib %u %lu\n", count, resident_kib(argv[2]));
    }
    return 0;
}
