/* The table of the options that a settings file of magnoliabarrowd may have.
 */
#ifndef OPTIONS_H
#define OPTIONS_H

#include "mb_settings.h"

extern const mb_option_t daemon_options[];
extern const size_t daemon_option_count;

#endif
