// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Keeps the list of workers up to date from the store. A cell of thousands of workers has
/// tens of pages of them, and the list is asked for more than once a second, so after the
/// first read only changes are read.

#pragma once

#include <pathport/jobs/job_store.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pathport::jobs {

/// The workers whose entries are the rows of a table with an empty partition. It has to
/// outlive its calls to the store.
class WorkerListFeed {
public:
    /// Returns the worker of a row, or nothing if the row names none that can be used.
    using Parser = std::function<std::optional<WorkerInfo>(const StoredRow&)>;
    using Answer = DirectoryAnswer<std::vector<WorkerInfo>>;

    WorkerListFeed(JobStore& store, std::string table, Parser parse);

    /// Reads the list, which is at least as recent as the call. A failed read leaves the
    /// last complete list for the next one to continue from.
    void read(Millis timeout, std::function<void(Answer)> done);

private:
    using Reply = std::function<void(Answer)>;

    /// A read of the whole list, in pages.
    struct FullRead {
        std::map<std::string, WorkerInfo> workers;
        int64_t version = 0; ///< Of the first page: later changes are read again.
        Millis timeout;
        Reply done;
    };

    void read_all(Millis timeout, Reply done);
    void read_page(const std::string& from, const std::shared_ptr<FullRead>& read);
    void page_received(const StoreResult& result, const std::shared_ptr<FullRead>& read);
    void changes_received(const StoreResult& result, Millis timeout, const Reply& done);
    void apply(const StoredRow& row);
    void answer(StoreStatus status, const Reply& done) const;

    JobStore& m_store;
    std::string m_table;
    Parser m_parse;
    std::map<std::string, WorkerInfo> m_workers; ///< By row key.
    int64_t m_version = 0; ///< The list includes all changes up to it; 0: nothing is read.
};

} // namespace pathport::jobs
