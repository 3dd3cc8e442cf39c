#pragma once

#include <httplib.h>

#include <cstddef>

namespace savorywick {

// A server of cpp-httplib that reads no more than a number of bytes of one request, so that lines
// without end take little memory: cpp-httplib itself bounds only the body.
//
// Use it like httplib::Server. A connection is closed without a response once its request is
// longer.
class BoundedHttplibServer final : public httplib::Server
{
public:
    // The head, the body and the lines that frame its chunks count, all together.
    void setMaxRequestBytes(std::size_t bytes) { m_maxRequestBytes = bytes; }

private:
    bool process_and_close_socket(socket_t fd) override;
    void serve(socket_t fd);
    bool awaitRequest(socket_t fd) const;

    std::size_t m_maxRequestBytes = 2U << 20U;
};

} // namespace savorywick
