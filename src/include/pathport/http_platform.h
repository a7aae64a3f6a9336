// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The platform's systems over HTTP.

#pragma once

#include <pathport/http.h>
#include <pathport/platform.h>
#include <pathport/table.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace pathport {

/// The table service over HTTP.
class HttpTable : public Table {
public:
    /// Makes a client for the table at `server`; `node` names this writer to it.
    HttpTable(const Address& server, std::string node, Millis timeout);

    std::optional<TableResult> run(const TableTxn& txn, Failure& reason) override;

private:
    HttpClient m_client;
    std::string m_node;
};

/// The box list over HTTP. It asks for the list only if it has changed.
class HttpBoxList : public BoxList {
public:
    HttpBoxList(const Address& server, Millis timeout);

    std::optional<std::vector<BoxInfo>> read(Failure& reason) override;

private:
    HttpClient m_client;
    std::string m_tag; ///< Entity tag of the last list.
};

/// The object store over HTTP.
class HttpObjectStore : public ObjectStore {
public:
    HttpObjectStore(const Address& server, Millis timeout);

    bool put(const std::string& key, const std::string& content, Failure& reason) override;
    std::optional<std::string> get(const std::string& key, Failure& reason) override;

private:
    HttpClient m_client;
};

/// One HTTP client for each address that is spoken to.
class HttpClientPool {
public:
    explicit HttpClientPool(Millis timeout)
        : m_timeout(timeout)
    {
    }

    /// Returns the client for `address` ("IP:port"), or null when that is malformed.
    std::shared_ptr<HttpClient> client(const std::string& address);

private:
    Millis m_timeout;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<HttpClient>> m_clients;
};

/// Boxes over HTTP.
class HttpBoxAgent : public BoxAgent {
public:
    explicit HttpBoxAgent(Millis timeout)
        : m_clients(timeout)
    {
    }

    void exchange(const BoxInfo& box, const BoxExchange& exchange,
                  std::function<void(std::optional<BoxReport>, Failure)> done) override;

private:
    HttpClientPool m_clients;
};

/// Targets over HTTP.
class HttpTargetClient : public TargetClient {
public:
    explicit HttpTargetClient(Millis timeout)
        : m_clients(timeout)
    {
    }

    void send(const BoxInfo& box, int64_t epoch, const ForwardRequest& request,
              std::function<void(ForwardAnswer)> done) override;

private:
    HttpClientPool m_clients;
};

} // namespace pathport
