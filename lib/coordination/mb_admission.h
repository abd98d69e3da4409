/* Admission control of an entry, the process that receives clients' requests
   and routes them to sidecars: decides whether a request is accepted, by the
   shares of the classes, the limits of the services, the expected wait and the
   retry budget. All functions but init and finish may be called from any
   thread; admitting and releasing requests takes no mutex, while announcements
   and settings do. */
#ifndef MB_ADMISSION_H
#define MB_ADMISSION_H

#include <glib.h>

#include "mb_clock.h"
#include "mb_epoch.h"
#include "mb_error.h"
#include "mb_resource.h"

/* Maximum number of services that are declared or announced at a time. */
#define MB_ADMISSION_SERVICES_MAX 4096u

/* Settings of one service. */
typedef struct mb_service_settings {
    mb_str_t name;
    mb_class_t request_class;
    uint32_t deadline_ms; /* for a request without one of its own */
    uint32_t queue_limit; /* requests that may wait for credits */
} mb_service_settings_t;

/* Requests in flight by class, counted against one limit. Atomic. */
typedef struct mb_class_load {
    uint64_t in_flight[MB_CLASS_COUNT];
    uint64_t last_request_ms[MB_CLASS_COUNT]; /* time of the last arrival */
} mb_class_load_t;

/* Reference-counted load of one service. All versions of the service table
   share it, so that its counters survive a change of the settings. The
   counters are atomic. */
typedef struct mb_service_load {
    uint64_t references;
    mb_buf_t name;
    uint64_t capacity;   /* sum of the credits granted by its sidecars */
    uint64_t waiting;    /* requests that wait for credits */
    uint64_t latency_us; /* moving average, from arrival to answer */
    mb_class_load_t class_load;
} mb_service_load_t;

/* Ticket of an admitted request. It owns a reference to the service's load
   and is released by mb_admission_release. */
typedef struct mb_ticket {
    mb_service_load_t *service_load;
    mb_class_t request_class;
    uint32_t deadline_ms;
    uint32_t queue_limit;
} mb_ticket_t;

typedef struct mb_admission {
    mb_epoch_t *epoch;
    mb_clock_t clock;
    uint32_t in_flight_limit; /* of all services together */
    uint32_t default_deadline_ms;
    uint32_t default_queue_limit;
    mb_class_load_t class_load; /* of all services together */
    uint64_t retry_tokens;      /* retry budget left */
    void *table;                /* published version, see mb_epoch.h */
    GHashTable *services;       /* name -> service; under `writer_lock` */
    pthread_mutex_t writer_lock;
} mb_admission_t;

/* Initializes without services and with a full retry budget. The epoch is
   borrowed. The defaults apply to services that are announced but not
   declared, and the default deadline also to declarations without one. */
void mb_admission_init(mb_admission_t *admission, mb_epoch_t *epoch,
                       const mb_clock_t *clock, uint32_t in_flight_limit,
                       uint32_t default_deadline_ms,
                       uint32_t default_queue_limit);
/* Releases all memory; no other thread may use `admission` any more. */
void mb_admission_finish(mb_admission_t *admission);

/* Replaces the settings of all declared services. Declarations beyond
   MB_ADMISSION_SERVICES_MAX services are ignored; such a service has the
   default settings if it is announced later. */
void mb_admission_set_services(mb_admission_t *admission,
                               const mb_service_settings_t *settings,
                               size_t count);
/* Registers a sidecar that announces a service. Returns a reference to the
   load of the service, which mb_admission_withdraw releases, or NULL when
   there are too many services. */
mb_service_load_t *mb_admission_announce(mb_admission_t *admission,
                                         mb_str_t service);
/* Undoes one mb_admission_announce and releases its reference. */
void mb_admission_withdraw(mb_admission_t *admission,
                           mb_service_load_t *service_load);
/* Adds a reference. */
void mb_service_load_ref(mb_service_load_t *service_load);
/* Drops a reference; the last one frees the load. */
void mb_service_load_unref(mb_service_load_t *service_load);
/* Adds a positive or negative number of credits to the service's capacity. */
void mb_service_load_add_capacity(mb_service_load_t *service_load,
                                  int64_t delta);

/* Admits a request and fills in its ticket, or returns the kind of its
   refusal; MB_KIND_COUNT means admitted. `requested_class` may make a request
   less urgent than its service, but not more; MB_CLASS_COUNT and a deadline of
   0 ms stand for the settings of the service. */
mb_kind_t mb_admission_admit(mb_admission_t *admission, mb_str_t service,
                             mb_class_t requested_class,
                             uint32_t requested_deadline_ms,
                             mb_ticket_t *ticket);
/* Releases the ticket once the client has been answered. `latency_us` is a
   sample of the service's latency; 0 is no sample. */
void mb_admission_release(mb_admission_t *admission, mb_ticket_t *ticket,
                          uint64_t latency_us);
/* Takes one retry from the budget; false when the budget is used up. */
bool mb_admission_spend_retry(mb_admission_t *admission);

#endif
