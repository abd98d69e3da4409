/* standin-request: sends one HTTP request, as a consumer, the operator or the
   load balancer. Writes the body of the response to a file and prints its
   status, 000 without a response.

   standin-request OUTPUT TIMEOUT_MS METHOD URL [BODY]

   A BODY of `-` is read from standard input. The request has the host
   desk.example and a time budget of 3 s, which only consumers' requests
   need. */
#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Reads standard input to its end. */
static GString *
read_input(void)
{
    GString *input = g_string_new(NULL);
    char part[4096];
    size_t size;
    while ((size = fread(part, 1, sizeof(part), stdin)) > 0) {
        (void)g_string_append_len(input, part, (gssize)size);
    }
    return input;
}

int
main(int argc, char **argv)
{
    if (argc < 5 || argc > 6) {
        (void)fprintf(stderr, "usage: standin-request OUTPUT TIMEOUT_MS "
                              "METHOD URL [BODY]\n");
        return 2;
    }
    FILE *output = fopen(argv[1], "w");
    CURL *easy = curl_easy_init();
    if (output == NULL || easy == NULL) {
        (void)fprintf(stderr, "standin-request: cannot write %s\n", argv[1]);
        return 2;
    }
    const char *names[] = {"Host: desk.example",
                           "Content-Type: application/json",
                           "Magnoliabarrow-Deadline-Ms: 3000", "Expect:"};
    struct curl_slist *headers = NULL;
    GString *body = NULL;
    long status = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        headers = curl_slist_append(headers, names[i]);
    }
    if (argc == 6) {
        body =
            strcmp(argv[5], "-") == 0 ? read_input() : g_string_new(argv[5]);
        (void)curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)body->len);
        (void)curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body->str);
    }
    (void)curl_easy_setopt(easy, CURLOPT_URL, argv[4]);
    (void)curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, argv[3]);
    (void)curl_easy_setopt(easy, CURLOPT_PROXY, "");
    (void)curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    (void)curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    (void)curl_easy_setopt(easy, CURLOPT_WRITEDATA, output);
    (void)curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                           strtol(argv[2], NULL, 10));
    if (curl_easy_perform(easy) == CURLE_OK) {
        (void)curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    }
    (void)printf("%03ld\n", status);
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
    (void)fclose(output);
    if (body != NULL) {
        (void)g_string_free(body, TRUE);
    }
    return 0;
}
