// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Callbacks that do nothing once their owner is gone.

#pragma once

#include <memory>
#include <utility>

namespace pathport::jobs {

/// A member of an object that hands out callbacks: what wrap() returns does nothing after
/// the object, and this member with it, has been destroyed.
class Lifetime {
public:
    /// Returns `work`, guarded.
    template <typename Work>
    auto wrap(Work work) const
    {
        return [alive = std::weak_ptr<int>(m_alive),
                work = std::move(work)](auto&&... arguments) mutable {
            if (const auto keep = alive.lock())
                work(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    /// Returns what expires when the owner is destroyed.
    std::weak_ptr<int> observe() const { return m_alive; }

private:
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace pathport::jobs
