/* An entry's decision whether a client's request is taken at all: shares of
   the classes, limits of the services, the expected wait and the budget of
   retries. Any thread may ask; none takes a mutex. */
#ifndef MB_ADMISSION_H
#define MB_ADMISSION_H

#include <glib.h>

#include "mb_clock.h"
#include "mb_epoch.h"
#include "mb_error.h"
#include "mb_resource.h"

/* Most services that are declared or announced at a time. */
#define MB_ADMISSION_SERVICES_MAX 4096u

/* Settings of one service. */
typedef struct mb_service_settings {
    mb_str_t name;
    mb_class_t request_class;
    uint32_t deadline_ms; /* for a request without one of its own */
    uint32_t queue_limit; /* requests that may wait for credits */
} mb_service_settings_t;

/* Requests in flight by class. */
typedef struct mb_class_load {
    uint64_t in_flight[MB_CLASS_COUNT];
    uint64_t last_request_ms[MB_CLASS_COUNT]; /* when one came last */
} mb_class_load_t;

/* The live numbers of one service; shared by the versions of the table. */
typedef struct mb_service_load {
    uint64_t references;
    mb_buf_t name;
    uint64_t capacity;   /* credits of all its links */
    uint64_t waiting;    /* requests that wait for credits */
    uint64_t latency_us; /* moving average of whole requests */
    mb_class_load_t class_load;
} mb_service_load_t;

/* A request that was let in; given back by mb_admission_release. */
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
    mb_class_load_t class_load;
    uint64_t retry_tokens;
    void *table;
    GHashTable *services; /* of the writers: name -> declared, announced */
    pthread_mutex_t writer_lock;
} mb_admission_t;

void mb_admission_init(mb_admission_t *admission, mb_epoch_t *epoch,
                       const mb_clock_t *clock, uint32_t in_flight_limit,
                       uint32_t default_deadline_ms,
                       uint32_t default_queue_limit);
void mb_admission_finish(mb_admission_t *admission);

void mb_admission_set_services(mb_admission_t *admission,
                               const mb_service_settings_t *settings,
                               size_t count);
mb_service_load_t *mb_admission_announce(mb_admission_t *admission,
                                         mb_str_t service);
void mb_admission_withdraw(mb_admission_t *admission,
                           mb_service_load_t *service_load);
void mb_service_load_ref(mb_service_load_t *service_load);
void mb_service_load_unref(mb_service_load_t *service_load);
void mb_service_load_add_capacity(mb_service_load_t *service_load,
                                  int64_t delta);

mb_kind_t mb_admission_admit(mb_admission_t *admission, mb_str_t service,
                             mb_class_t requested_class,
                             uint32_t requested_deadline_ms,
                             mb_ticket_t *ticket);
void mb_admission_release(mb_admission_t *admission, mb_ticket_t *ticket,
                          uint64_t latency_us);
bool mb_admission_spend_retry(mb_admission_t *admission);

#endif
