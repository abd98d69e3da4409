/* Tests of the settings parser and of the daemon's option table. */
#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>
#include <unistd.h>

extern "C" {
#include "mb_error.h"
#include "mb_settings.h"
}
#include "../../programs/magnoliabarrowd/options.c"

namespace {

const mb_option_t table[] = {
    {"a", "text", MB_OPTION_TEXT, "x", 1, 4, nullptr, nullptr, false},
    {"a", "number", MB_OPTION_NUMBER, "5", 2, 90, nullptr, "ms", true},
    {"b", "flag", MB_OPTION_FLAG, "no", 0, 0, nullptr, nullptr, false},
    {"b", "choice", MB_OPTION_CHOICE, "up", 0, 0, "up|down", nullptr, false},
    {"b", "address", MB_OPTION_ADDRESS, "127.0.0.1:1", 0, 0, nullptr, nullptr,
     false},
};
const size_t table_size = sizeof(table) / sizeof(table[0]);

/* A temporary settings file, removed at the end of the scope. */
class File {
  public:
    explicit File(const std::string &text)
        : path_("/tmp/mb-settings-" + std::to_string(getpid()) + ".ini")
    {
        std::ofstream(path_, std::ios::binary) << text;
    }
    ~File()
    {
        (void)unlink(path_.c_str());
    }
    const char *path() const
    {
        return path_.c_str();
    }

  private:
    std::string path_;
};

/* Parses a text as a settings file and returns the error message without the
   path, or "" if the text is valid. */
std::string
get_error(const std::string &text, const mb_option_t *options = table,
          size_t count = table_size)
{
    File file(text);
    mb_settings_t settings;
    GError *error = nullptr;
    if (mb_settings_init(&settings, options, count, file.path(), &error)) {
        mb_settings_finish(&settings);
        return "";
    }
    EXPECT_EQ(mb_error_kind(error), MB_KIND_CONFIG);
    std::string message = error->message;
    g_error_free(error);
    std::string prefix = std::string(file.path()) + ":";
    EXPECT_EQ(message.substr(0, prefix.size()), prefix);
    return message.substr(prefix.size());
}

} // namespace

/* Guards against an error message that does not say where the error is and
   what is allowed. */
TEST(Settings, ErrorNamesLineKeyAndRange)
{
    EXPECT_EQ(get_error("[a]\nnumber = 91\n"),
              "2: [a] number: must be a whole number from 2 to 90 ms");
    EXPECT_EQ(get_error("[a]\n\ntext = abcde\n"),
              "3: [a] text: must be text of 1 to 4 bytes");
    EXPECT_EQ(get_error("[b]\nflag = maybe\n"),
              "2: [b] flag: must be yes or no");
    EXPECT_EQ(get_error("[b]\nchoice = left\n"),
              "2: [b] choice: must be one of up|down");
    EXPECT_EQ(get_error("[b]\naddress = here\n"),
              "2: [b] address: must be IPv4:port");
    EXPECT_EQ(get_error("[a]\nother = 1\n"), "2: [a] other: unknown key");
    EXPECT_EQ(get_error("[a]\nnumber\n"), "2: not a key or a section");
}

/* Guards against a missing mandatory option that is not reported. */
TEST(Settings, ReportsMissingMandatoryKey)
{
    const mb_option_t mandatory = {"a", "key",   MB_OPTION_TEXT, nullptr, 1,
                                   4,   nullptr, nullptr,        false};
    EXPECT_EQ(get_error("[a]\n", &mandatory, 1), " [a] key: missing");
}

/* Guards against a key that is given twice, where the second value would
   silently replace the first. */
TEST(Settings, RejectsKeyGivenTwice)
{
    EXPECT_EQ(get_error("[a]\nnumber = 3\nnumber = 4\n"),
              "3: [a] number: given twice");
    EXPECT_EQ(get_error("[a]\nnumber = 3\n[b]\nflag = no\n[a]\nnumber = 3\n"),
              "6: [a] number: given twice");
}

/* Guards against a number that is accepted although it is out of range, or
   rejected although it is not. */
RC_GTEST_PROP(Settings, AcceptsExactlyTheNumbersInRange, ())
{
    const auto number = *rc::gen::inRange<int>(-5, 200);
    bool accepted =
        get_error("[a]\nnumber = " + std::to_string(number)).empty();
    RC_ASSERT(accepted == (number >= 2 && number <= 90));
}

/* Guards against malformed files that crash the process, and against settings
   that keep values although the file was rejected. */
RC_GTEST_PROP(Settings, RandomTextIsAcceptedOrRejectedAsAWhole, ())
{
    const auto piece = rc::gen::element<std::string>(
        "[a]", "[b]", "[", "]", "\n", "\n", "=", "number", "flag", "text", "7",
        "yes", ";", "#", " ", "\t", "\r", ":", "\"", "\xff",
        std::string(1, '\0'), std::string(300, 'x'));
    std::string text;
    for (const auto &part :
         *rc::gen::container<std::vector<std::string>>(piece)) {
        text += part;
    }
    File file(text);
    mb_settings_t settings;
    GError *error = nullptr;
    bool ok =
        mb_settings_init(&settings, table, table_size, file.path(), &error);
    RC_ASSERT(ok == (error == nullptr));
    if (ok) {
        uint64_t number = mb_settings_number(&settings, "a", "number");
        RC_ASSERT(number >= 2 && number <= 90);
        mb_settings_finish(&settings);
        return;
    }
    RC_ASSERT(mb_error_kind(error) == MB_KIND_CONFIG);
    RC_ASSERT(settings.values == nullptr);
    g_error_free(error);
}

/* Guards against a default value that would be rejected in a settings file. */
TEST(DaemonOptions, EveryDefaultValueIsValid)
{
    for (size_t i = 0; i < daemon_option_count; i++) {
        const mb_option_t *option = &daemon_options[i];
        if (option->default_value == nullptr) {
            continue;
        }
        std::string text = std::string("[") + option->section + "]\n" +
                           option->key + " = " + option->default_value + "\n";
        EXPECT_EQ(get_error(text, option, 1), "") << text;
    }
}

/* Guards against two rows of the same section and key, the second of which
   could never be read. */
TEST(DaemonOptions, NoOptionIsListedTwice)
{
    for (size_t i = 0; i < daemon_option_count; i++) {
        for (size_t j = i + 1; j < daemon_option_count; j++) {
            EXPECT_FALSE(std::string(daemon_options[i].section) ==
                             daemon_options[j].section &&
                         std::string(daemon_options[i].key) ==
                             daemon_options[j].key);
        }
    }
}
