# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
"""A fault soak of pathport_jobd: real daemons beside a stand-in of the users' platform."""
