/* A keyed log in memory for the tests: takes appends as the service does, and
   loses answers, refuses or forgets records as told. */
#ifndef FAKE_LOG_H
#define FAKE_LOG_H

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "mb_keyed_log.h"
}

struct FakeLog {
    struct Record {
        std::string key;
        std::string value;
    };
    struct Producer {
        uint64_t epoch = 0;
        uint64_t sequence = 0;
        bool seen = false;
    };
    std::vector<Record> records;
    std::map<std::string, Producer> producers;
    uint64_t first = 0; /* oldest record kept in order */
    /* What the next calls do: 'o' as they should, 'l' done and the answer
       lost, 'n' not done, 'h' held up and never done. */
    std::deque<char> plan;
    std::deque<std::function<void()>> answers;
    uint64_t appends = 0;
    uint64_t reads = 0;

    char next_plan()
    {
        if (plan.empty()) {
            return 'o';
        }
        char step = plan.front();
        plan.pop_front();
        return step;
    }

    /* Delivers the answers that wait. */
    void deliver()
    {
        while (!answers.empty()) {
            auto answer = answers.front();
            answers.pop_front();
            answer();
        }
    }

    mb_keyed_result_t take(const mb_keyed_append_t *append)
    {
        Producer &producer = producers[std::string(append->producer.data,
                                                   append->producer.len)];
        if (producer.seen && append->epoch < producer.epoch) {
            return MB_KEYED_FENCED;
        }
        if (producer.seen && append->epoch == producer.epoch) {
            if (append->sequence == producer.sequence) {
                return MB_KEYED_OK;
            }
            if (append->sequence != producer.sequence + 1) {
                return MB_KEYED_OUT_OF_ORDER;
            }
        }
        producer = Producer{append->epoch, append->sequence, true};
        for (uint32_t i = 0; i < append->count; i++) {
            const mb_keyed_record_t &record = append->records[i];
            records.push_back(
                {std::string(record.key.data, record.key.len),
                 std::string(record.value.data, record.value.len)});
        }
        return MB_KEYED_OK;
    }

    static bool on_append(void *context, const mb_keyed_append_t *append)
    {
        FakeLog *log = static_cast<FakeLog *>(context);
        char step = log->next_plan();
        mb_keyed_result_t result = MB_KEYED_NOT_DONE;
        log->appends++;
        if (step == 'o' || step == 'l') {
            result = log->take(append);
        }
        if (step == 'l' || step == 'h') {
            result = MB_KEYED_UNKNOWN;
        }
        auto done = append->done;
        void *to = append->context;
        log->answers.push_back([=] { done(to, result); });
        return true;
    }

    void answer_page(const mb_keyed_read_t *read, std::vector<Record> page,
                     mb_keyed_result_t result, bool more)
    {
        auto done = read->done;
        void *to = read->context;
        uint64_t end = records.size();
        answers.push_back([=] {
            std::vector<mb_keyed_record_t> views;
            for (const Record &record : page) {
                views.push_back({{record.key.data(), record.key.size()},
                                 {record.value.data(), record.value.size()}});
            }
            mb_keyed_page_t answer = {};
            answer.result = result;
            answer.end = end;
            answer.records = views.data();
            answer.count = (uint32_t)views.size();
            answer.more = more;
            done(to, &answer);
        });
    }

    static bool on_read(void *context, const mb_keyed_read_t *read)
    {
        FakeLog *log = static_cast<FakeLog *>(context);
        std::vector<Record> page;
        log->reads++;
        if (log->next_plan() != 'o') {
            log->answer_page(read, page, MB_KEYED_UNKNOWN, false);
            return true;
        }
        if (read->from < log->first) {
            log->answer_page(read, page, MB_KEYED_TRIMMED, false);
            return true;
        }
        for (uint64_t i = read->from; i < log->records.size(); i++) {
            page.push_back(log->records[i]);
        }
        log->answer_page(read, page, MB_KEYED_OK, false);
        return true;
    }

    /* Pages of two records each. */
    static bool on_newest(void *context, const mb_keyed_read_t *read)
    {
        FakeLog *log = static_cast<FakeLog *>(context);
        std::map<std::string, std::string> newest;
        std::vector<Record> page;
        std::string after(read->after.data, read->after.len);
        log->reads++;
        for (const Record &record : log->records) {
            newest[record.key] = record.value;
        }
        bool more = false;
        for (const auto &item : newest) {
            if (item.first <= after || item.second.empty()) {
                continue;
            }
            more = page.size() == 2;
            if (more) {
                break;
            }
            page.push_back({item.first, item.second});
        }
        log->answer_page(read, page, MB_KEYED_OK, more);
        return true;
    }

    mb_keyed_log_t callbacks()
    {
        return mb_keyed_log_t{on_append, on_read, on_newest, this};
    }
};

#endif
