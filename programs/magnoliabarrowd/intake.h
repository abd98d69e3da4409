/* The limits of what clients may hold, from the settings and from the memory
   and the file descriptors of the process. */
#ifndef INTAKE_H
#define INTAKE_H

#include "mb_intake.h"
#include "mb_log.h"
#include "mb_settings.h"

/* Returns the memory of the process in bytes: the setting, or that of the
   machine, or less if the resource limits of the process are lower. */
uint64_t intake_memory(const mb_settings_t *settings);
/* Derives the limits of the listener for clients from the settings of a
   section. Returns false with the error set if no useful limits fit the memory
   and the descriptors. */
bool intake_read(const mb_settings_t *settings, const char *section,
                 mb_intake_limits_t *limits, GError **error);
/* Checks that useful limits fit, for a check of the settings. */
bool intake_check(const mb_settings_t *settings, const char *section,
                  GError **error);
/* Logs the limits in force. */
void intake_log(const mb_intake_limits_t *limits, const mb_log_t *log);

#endif
