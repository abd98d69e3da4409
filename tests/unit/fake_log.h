/* Keyed log in memory, for tests. It accepts appends as the log service does;
   a test can make it fail calls, lose answers or remove old records. */
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
    /* The last append of a producer, see mb_keyed_log.h. */
    struct Producer {
        uint64_t epoch = 0;
        uint64_t sequence = 0;
        bool seen = false;
    };
    std::vector<Record> records;
    std::map<std::string, Producer> producers;
    uint64_t first = 0; /* earliest offset retained for reads in order */
    /* Results of the next calls. An append with 'o' succeeds; 'l' stores the
       records, but the answer is lost, so the caller gets an unknown result;
       'n' has no effect; 'h' has no effect either, but the result is unknown.
       A read in order succeeds with 'o' and fails with any other. Calls beyond
       the plan succeed. */
    std::deque<char> plan;
    std::deque<std::function<void()>> answers; /* not delivered yet */
    uint64_t appends = 0;
    uint64_t reads = 0;

    char take_next_step()
    {
        if (plan.empty()) {
            return 'o';
        }
        char step = plan.front();
        plan.pop_front();
        return step;
    }

    /* Delivers the pending answers, and those to calls made meanwhile. */
    void deliver()
    {
        while (!answers.empty()) {
            auto answer = answers.front();
            answers.pop_front();
            answer();
        }
    }

    mb_keyed_result_t append_records(const mb_keyed_append_t *append)
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
        char step = log->take_next_step();
        mb_keyed_result_t result = MB_KEYED_NOT_DONE;
        log->appends++;
        if (step == 'o' || step == 'l') {
            result = log->append_records(append);
        }
        if (step == 'l' || step == 'h') {
            result = MB_KEYED_UNKNOWN;
        }
        auto done = append->done;
        void *done_context = append->context;
        log->answers.push_back([=] { done(done_context, result); });
        return true;
    }

    void answer_page(const mb_keyed_read_t *read, std::vector<Record> page,
                     mb_keyed_result_t result, bool more)
    {
        auto done = read->done;
        void *done_context = read->context;
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
            done(done_context, &answer);
        });
    }

    static bool on_read(void *context, const mb_keyed_read_t *read)
    {
        FakeLog *log = static_cast<FakeLog *>(context);
        std::vector<Record> page;
        log->reads++;
        if (log->take_next_step() != 'o') {
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

    /* Answers with pages of at most two records. */
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
