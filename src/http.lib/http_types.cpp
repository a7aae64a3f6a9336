// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/http.h>

namespace pathport {

std::string HttpRequest::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

} // namespace pathport
