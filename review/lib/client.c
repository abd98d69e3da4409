/* review-client: sends one HTTP request of a consumer or of the operator and
   prints "STATUS BODY" on one line; the status is 0 without an answer. The
   body of the request is read from standard input if DATA is "-".

   review-client METHOD URL HOST TIMEOUT_MS [DATA] */
#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static size_t
collect(char *data, size_t size, size_t count, void *context)
{
    (void)g_string_append_len(context, data, (gssize)(size * count));
    return size * count;
}

static GString *
read_input(void)
{
    GString *text = g_string_new(NULL);
    char part[4096];
    size_t count;
    while ((count = fread(part, 1, sizeof(part), stdin)) > 0) {
        (void)g_string_append_len(text, part, (gssize)count);
    }
    return text;
}

int
main(int argc, char **argv)
{
    if (argc < 5) {
        (void)fprintf(stderr, "usage: review-client METHOD URL HOST "
                              "TIMEOUT_MS [DATA]\n");
        return 2;
    }
    CURL *easy = curl_easy_init();
    GString *answer = g_string_new(NULL);
    GString *data = NULL;
    struct curl_slist *headers = NULL;
    long status = 0;
    g_autofree char *host = g_strdup_printf("Host: %s", argv[3]);
    g_autofree char *deadline =
        g_strdup_printf("Magnoliabarrow-Deadline-Ms: %s", argv[4]);
    headers = curl_slist_append(headers, host);
    headers = curl_slist_append(headers, deadline);
    headers = curl_slist_append(headers, "Content-Type: application/json");
    headers = curl_slist_append(headers, "Expect:");
    if (argc > 5) {
        data =
            strcmp(argv[5], "-") == 0 ? read_input() : g_string_new(argv[5]);
        (void)curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)data->len);
        (void)curl_easy_setopt(easy, CURLOPT_POSTFIELDS, data->str);
    }
    (void)curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, argv[1]);
    (void)curl_easy_setopt(easy, CURLOPT_URL, argv[2]);
    (void)curl_easy_setopt(easy, CURLOPT_PROXY, "");
    (void)curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    (void)curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, atol(argv[4]));
    (void)curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, collect);
    (void)curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
    if (curl_easy_perform(easy) == CURLE_OK) {
        (void)curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    }
    (void)printf("%ld %s\n", status, answer->str);
    return 0;
}
