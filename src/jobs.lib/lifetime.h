// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Callbacks that do nothing once their owner has been destroyed.

#pragma once

#include <memory>
#include <utility>

namespace pathport::jobs {

/// A member of an object that passes out callbacks: what wrap() returns does nothing after
/// the object, and with it this member, has been destroyed.
class Lifetime {
public:
    /// Returns `work`, guarded by the lifetime of the owner.
    template <typename Work>
    auto wrap(Work work) const
    {
        return [alive = std::weak_ptr<int>(m_alive),
                work = std::move(work)](auto&&... arguments) mutable {
            if (const auto keep = alive.lock())
                work(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    /// Returns a pointer that expires when the owner is destroyed.
    std::weak_ptr<int> observe() const { return m_alive; }

private:
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace pathport::jobs
