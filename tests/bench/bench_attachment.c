/* bench_attachment: measures how evenly sidecars are attached to entries, and
   how many of its entries a sidecar loses when entries fail. Compares the
   choice of mb_member.c with random sets and with sets of which any two share
   at most one entry. For the latter the entries form a square of SIDE x SIDE,
   and a set is a part of a line: a column, or a row or diagonal of any slope
   (an affine plane). Prints "attachment_FIGURE_LAYOUT[_F] value unit" lines,
   where F entries fail at once. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mb_member.h"
#include "mb_rng.h"

#define SEED 20261204u
/* Side of the square. A prime, so that two lines of different slopes share
   exactly one entry. */
#define SIDE 13u
#define ENTRIES (SIDE * SIDE)
/* Entries that a sidecar attaches to. */
#define SET 4u
/* Sets that a line is cut into, and sets of all lines. */
#define PARTS (SIDE / SET)
#define SETS (SIDE * (SIDE + 1) * PARTS)
#define SIDECARS (10 * SETS)
/* Random failures over which figures are averaged. */
#define ROUNDS 2000u
#define FAILURES_MAX 6u

/* The entries of one sidecar. */
typedef uint32_t set_t[SET];

/* Chooses the set of each sidecar. */
typedef void (*layout_t)(set_t *sets, const mb_rng_t *rng);

/* Chooses sets as the daemon does, with all entries in one failure domain. */
static void
choose_rendezvous(set_t *sets, const mb_rng_t *rng)
{
    mb_members_t members;
    uint64_t processes[ENTRIES];
    mb_member_choice_t choices[SET] = {{0}};
    mb_members_init(&members);
    for (uint32_t i = 0; i < ENTRIES; i++) {
        processes[i] = mb_rng_next(rng);
        mb_announcement_t entry = {.process = processes[i],
                                   .address = MB_STR_LIT("10.0.0.1:7000"),
                                   .failure_domain = MB_STR_LIT("north-a")};
        mb_members_announce(&members, &entry, 1);
    }
    for (uint32_t i = 0; i < SIDECARS; i++) {
        (void)mb_members_choose(&members, mb_rng_next(rng),
                                MB_STR_LIT("north-a"), SET, choices);
        for (uint32_t j = 0; j < SET; j++) {
            sets[i][j] = 0;
            while (processes[sets[i][j]] != choices[j].process) {
                sets[i][j]++;
            }
        }
    }
    mb_members_finish(&members);
}

/* Draws `count` different entries. */
static void
draw(uint32_t *entries, uint32_t count, const mb_rng_t *rng)
{
    uint32_t drawn = 0;
    while (drawn < count) {
        uint32_t entry = (uint32_t)mb_rng_below(rng, ENTRIES);
        uint32_t i = 0;
        while (i < drawn && entries[i] != entry) {
            i++;
        }
        if (i == drawn) {
            entries[drawn++] = entry;
        }
    }
}

/* Chooses an independent random set for each sidecar. */
static void
choose_random(set_t *sets, const mb_rng_t *rng)
{
    for (uint32_t i = 0; i < SIDECARS; i++) {
        draw(sets[i], SET, rng);
    }
}

/* Sets `set` to set number `number` of SETS. Each line leaves out one of its
   entries and is cut into PARTS sets. Two sets share at most one entry, and
   each entry is left out by one or two of its SIDE + 1 lines. */
static void
make_line_set(uint32_t *set, uint32_t number)
{
    uint32_t line = number / PARTS;
    uint32_t slope = line / SIDE;
    uint32_t start = line % SIDE;
    uint32_t left_out = slope == SIDE ? start : slope;
    for (uint32_t j = 0; j < SET; j++) {
        uint32_t x = (left_out + 1 + number % PARTS * SET + j) % SIDE;
        uint32_t y = (start + slope * x) % SIDE;
        set[j] = slope == SIDE ? start * SIDE + x : x * SIDE + y;
    }
}

/* Gives each line set to equally many sidecars. The sidecars would have to be
   numbered for this. */
static void
choose_lines(set_t *sets, const mb_rng_t *rng)
{
    (void)rng;
    for (uint32_t i = 0; i < SIDECARS; i++) {
        make_line_set(sets[i], i % SETS);
    }
}

/* Gives each sidecar a line set by its hash, which needs no list of sidecars;
   a random number stands for the hash. */
static void
choose_hashed_lines(set_t *sets, const mb_rng_t *rng)
{
    for (uint32_t i = 0; i < SIDECARS; i++) {
        make_line_set(sets[i], (uint32_t)mb_rng_below(rng, SETS));
    }
}

/* Prints the largest number of sidecars at an entry relative to the mean, and
   the largest share of a failed entry's sidecars that one other entry serves
   too. */
static void
print_concentration(const char *layout, set_t *sets)
{
    static uint32_t shared_sidecars[ENTRIES][ENTRIES];
    uint32_t most = 0;
    double largest_share = 0;
    memset(shared_sidecars, 0, sizeof(shared_sidecars));
    for (uint32_t i = 0; i < SIDECARS; i++) {
        for (uint32_t j = 0; j < SET * SET; j++) {
            shared_sidecars[sets[i][j / SET]][sets[i][j % SET]]++;
        }
    }
    for (uint32_t a = 0; a < ENTRIES; a++) {
        uint32_t load = shared_sidecars[a][a];
        most = load > most ? load : most;
        for (uint32_t b = 0; b < ENTRIES; b++) {
            double part = load > 0 ? (double)shared_sidecars[a][b] / load : 0;
            largest_share =
                a != b && part > largest_share ? part : largest_share;
        }
    }
    (void)printf("attachment_load_%s %.3f max/mean\n", layout,
                 (double)most * ENTRIES / (SIDECARS * SET));
    (void)printf("attachment_shared_%s %.3f largest part\n", layout,
                 largest_share);
}

/* Counts in `lost` the sidecars that lose exactly 0 to SET of their entries.
   Returns the largest load of an entry that remains, in attachments, when the
   remaining entries of a sidecar share its lost attachments equally. */
static double
compute_failure(set_t *sets, const bool *failed, uint32_t *lost)
{
    double load[ENTRIES] = {0};
    double most = 0;
    memset(lost, 0, (SET + 1) * sizeof(*lost));
    for (uint32_t i = 0; i < SIDECARS; i++) {
        uint32_t count = 0;
        for (uint32_t j = 0; j < SET; j++) {
            count += failed[sets[i][j]];
        }
        lost[count]++;
        for (uint32_t j = 0; j < SET && count < SET; j++) {
            load[sets[i][j]] += (double)SET / (SET - count);
        }
    }
    for (uint32_t i = 0; i < ENTRIES; i++) {
        most = !failed[i] && load[i] > most ? load[i] : most;
    }
    return most;
}

/* Prints means and worst values over ROUNDS failures of `count` entries. */
static void
print_failures(const char *layout, set_t *sets, uint32_t count)
{
    mb_rng_seeded_t seeded;
    mb_rng_seeded_init(&seeded, SEED + count);
    mb_rng_t rng = mb_rng_from_seeded(&seeded);
    double several = 0;
    double all = 0;
    double load = 0;
    uint32_t worst_several = 0;
    uint32_t worst_all = 0;
    for (uint32_t round = 0; round < ROUNDS; round++) {
        uint32_t chosen[FAILURES_MAX] = {0};
        uint32_t lost[SET + 1];
        bool failed[ENTRIES] = {false};
        draw(chosen, count, &rng);
        for (uint32_t i = 0; i < count; i++) {
            failed[chosen[i]] = true;
        }
        load += compute_failure(sets, failed, lost);
        uint32_t lost_several = SIDECARS - lost[0] - lost[1];
        several += lost_several;
        all += lost[SET];
        worst_several =
            lost_several > worst_several ? lost_several : worst_several;
        worst_all = lost[SET] > worst_all ? lost[SET] : worst_all;
    }
    double mean = (double)(SIDECARS * SET) / ENTRIES;
    (void)printf("attachment_lose_several_%s_%u %.2f mean %u worst sidecars\n",
                 layout, count, several / ROUNDS, worst_several);
    (void)printf("attachment_lose_all_%s_%u %.4f mean %u worst sidecars\n",
                 layout, count, all / ROUNDS, worst_all);
    (void)printf("attachment_load_after_%s_%u %.3f max/mean\n", layout, count,
                 load / ROUNDS / mean);
}

int
main(void)
{
    static const struct {
        const char *name;
        layout_t choose;
    } layouts[] = {{"rendezvous", choose_rendezvous},
                   {"random", choose_random},
                   {"lines", choose_lines},
                   {"hashed_lines", choose_hashed_lines}};
    static set_t sets[SIDECARS];
    (void)printf("attachment_seed %u\n", SEED);
    for (size_t i = 0; i < sizeof(layouts) / sizeof(layouts[0]); i++) {
        mb_rng_seeded_t seeded;
        mb_rng_seeded_init(&seeded, SEED);
        mb_rng_t rng = mb_rng_from_seeded(&seeded);
        layouts[i].choose(sets, &rng);
        print_concentration(layouts[i].name, sets);
        for (uint32_t count = 1; count <= FAILURES_MAX; count++) {
            print_failures(layouts[i].name, sets, count);
        }
    }
    return 0;
}
