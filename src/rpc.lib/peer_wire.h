// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Conversions between the values of peer.h and their Cap'n Proto forms.

#pragma once

#include <pathport/peer.h>

#include "peer.capnp.h"

namespace pathport {

void write(const ForwardRequest& value, wire::ForwardRequest::Builder out);
ForwardRequest read(wire::ForwardRequest::Reader in);

void write(const ForwardAnswer& value, wire::ForwardAnswer::Builder out);
ForwardAnswer read(wire::ForwardAnswer::Reader in);

void write(const Beat& value, wire::Beat::Builder out);
Beat read(wire::Beat::Reader in);

void write(const ConfigRow& value, wire::ConfigRow::Builder out);
ConfigRow read(wire::ConfigRow::Reader in);

} // namespace pathport
