/* The table of the options in the settings files of magnoliabarrowd. */
#ifndef OPTIONS_H
#define OPTIONS_H

#include "mb_settings.h"

extern const mb_option_t daemon_options[];
extern const size_t daemon_option_count;

#endif
