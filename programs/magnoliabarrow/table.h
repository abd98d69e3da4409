/* Prints resources and evacuations as tables with aligned columns. */
#ifndef TABLE_H
#define TABLE_H

#include "mb_str.h"

bool table_print(mb_str_t json);
bool table_print_evacuations(mb_str_t json);

#endif
