#pragma once

#include "core/httpclient.h"
#include "savorywick/platform.h"

#include <atomic>

namespace savorywick {

// The table service, met over the wire of docs/PROTOCOLS.md.
//
// Thread-safe; calls block for at most the time-out given at construction.
class HttpTable final : public Table
{
public:
    // `address` is the service's IP number and port. The client must outlive this object.
    HttpTable(HttpClient &client, std::string address, Millis timeout);

    CommitResult commit(const Transaction &transaction) override;
    std::vector<Row> read(std::span<const std::string> keys) override;
    std::vector<Row> scan(std::string_view prefix, std::string_view after,
                          std::size_t limit) override;

    // Returns true if and only if the latest call found the service working.
    bool isUp() const { return m_up; }

private:
    std::vector<Row> rowsOf(std::string_view path, const std::string &body);

    HttpClient &m_client;
    std::string m_address;
    Millis m_timeout;
    std::atomic<bool> m_up{true};
};

} // namespace savorywick
