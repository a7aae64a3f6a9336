// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "listening_socket.h"

#include <pathport/log.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>

namespace pathport {

namespace {

// Where the flags are in a TCP header, and those that tell a first segment.
constexpr uint32_t tcp_flags_offset = 13;
constexpr uint32_t tcp_syn = 0x02;
constexpr uint32_t tcp_syn_or_ack = 0x12;
constexpr uint32_t whole_segment = 0xffffffff;

bool listens_on(int descriptor, const Address& address)
{
    int listening = 0;
    socklen_t length = sizeof listening;
    if (getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listening, &length) != 0
        || listening == 0)
        return false;
    sockaddr_in bound {};
    length = sizeof bound;
    if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &length) != 0)
        return false;
    in_addr wanted {};
    return bound.sin_family == AF_INET && bound.sin_port == htons(address.port)
        && inet_pton(AF_INET, address.ip.c_str(), &wanted) == 1
        && bound.sin_addr.s_addr == wanted.s_addr;
}

} // namespace

ListeningSocket::ListeningSocket(const Address& address)
{
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/self/fd", error)) {
        const auto descriptor = parse_integer(entry.path().filename().string());
        if (descriptor && listens_on(static_cast<int>(*descriptor), address))
            m_descriptor = static_cast<int>(*descriptor);
    }
}

// The filter drops segments that open a connection and lets all others through.
void ListeningSocket::drop_new_connections() const
{
    std::array<sock_filter, 5> code {
        { BPF_STMT(BPF_LD | BPF_B | BPF_ABS, tcp_flags_offset),
          BPF_STMT(BPF_ALU | BPF_AND | BPF_K, tcp_syn_or_ack),
          BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, tcp_syn, 0, 1), BPF_STMT(BPF_RET | BPF_K, 0),
          BPF_STMT(BPF_RET | BPF_K, whole_segment) }
    };
    const sock_fprog program { static_cast<unsigned short>(code.size()), code.data() };
    if (m_descriptor >= 0
        && setsockopt(m_descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program)
            != 0)
        log_event(LogLevel::warn, "listener_not_filtered",
                  { { "error", std::strerror(errno) } });
}

bool ListeningSocket::has_waiting_connections() const
{
    tcp_info info {};
    socklen_t length = sizeof info;
    // Of a listening socket, this counts the connections that wait.
    return m_descriptor >= 0
        && getsockopt(m_descriptor, IPPROTO_TCP, TCP_INFO, &info, &length) == 0
        && info.tcpi_unacked > 0;
}

// Another socket takes its place, so that the library, which goes on to wait at this
// descriptor and closes it in the end, hears nothing more. A shut-down socket would wake it
// again and again.
void ListeningSocket::refuse_connections() const
{
    if (m_descriptor < 0)
        return;
    const int unused = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (unused < 0)
        return;
    (void)dup3(unused, m_descriptor, O_CLOEXEC);
    close(unused);
}

} // namespace pathport
