/* Prints resources as a table with aligned columns. */
#ifndef TABLE_H
#define TABLE_H

#include "mb_str.h"

bool table_print(mb_str_t json);

#endif
