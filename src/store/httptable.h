#pragma once

#include "core/httpclient.h"
#include "savorywick/platform.h"

#include <atomic>

namespace savorywick {

// Reads and commits rows of the platform's table service over HTTP.
//
// Use it where the platform serves the protocol of docs/PROTOCOLS.md. Thread-safe; calls block for
// at most the timeout given at construction.
//
// Example:
//   HttpTable table(client, "10.0.0.7:7000", Millis{500});
//   const std::vector<Row> rows = table.scan("shard/", "", 100);
class HttpTable final : public Table
{
public:
    // `address` is the IP address and port of the service, `timeout` the limit of each request.
    // The client must outlive this object.
    HttpTable(HttpClient &client, std::string address, Millis timeout);

    CommitResult commit(const Transaction &transaction) override;
    std::vector<Row> read(std::span<const std::string> keys) override;
    std::vector<Row> scan(std::string_view prefix, std::string_view after,
                          std::size_t limit) override;

    // Returns false if and only if the last call failed: a commit without a response or with a
    // status of 500 or above, a read or scan without a response of status 200.
    bool isAvailable() const { return m_available; }

private:
    std::vector<Row> queryRows(std::string_view path, const std::string &body);

    HttpClient &m_client;
    std::string m_address;
    Millis m_timeout;
    std::atomic<bool> m_available{true};
};

} // namespace savorywick
