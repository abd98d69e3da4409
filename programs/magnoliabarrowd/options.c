#include "options.h"

const mb_option_t daemon_options[] = {
    {"daemon", "role", MB_OPTION_CHOICE, NULL, 0, 0, "entry|sidecar", NULL,
     false},
    {"daemon", "name", MB_OPTION_TEXT, NULL, 1, 63, NULL, NULL, false},
    {"daemon", "region", MB_OPTION_TEXT, "default", 1, 63, NULL, NULL, false},
    {"daemon", "failure_domain", MB_OPTION_TEXT, "default", 1, 63, NULL, NULL,
     false},
    {"daemon", "log_level", MB_OPTION_CHOICE, "info", 0, 0,
     "error|warning|notice|info|debug", NULL, true},
    {"entry", "client_address", MB_OPTION_ADDRESS, "127.0.0.1:8080", 0, 0,
     NULL, NULL, false},
    {"entry", "link_address", MB_OPTION_ADDRESS, "127.0.0.1:7080", 0, 0, NULL,
     NULL, false},
    {"entry", "http_threads", MB_OPTION_NUMBER, "2", 1, 16, NULL, "threads",
     false},
    {"entry", "link_threads", MB_OPTION_NUMBER, "2", 1, 16, NULL, "threads",
     false},
    {"entry", "max_connections", MB_OPTION_NUMBER, "4096", 16, 65536, NULL,
     "connections", false},
    {"entry", "default_deadline_ms", MB_OPTION_NUMBER, "5000", 1, 600000, NULL,
     "ms", false},
    {"sidecar", "service", MB_OPTION_TEXT, "", 0, 63, NULL, NULL, false},
    {"sidecar", "upstream_address", MB_OPTION_ADDRESS, "127.0.0.1:9080", 0, 0,
     NULL, NULL, false},
    {"sidecar", "entries", MB_OPTION_TEXT, "127.0.0.1:7080", 1, 1024, NULL,
     NULL, false},
    {"sidecar", "slots", MB_OPTION_NUMBER, "8", 1, 1024, NULL, "requests",
     false},
};

const size_t daemon_option_count =
    sizeof(daemon_options) / sizeof(daemon_options[0]);
