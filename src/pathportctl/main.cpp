// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// pathportctl: the operators' client.

#include "commands.h"

#include <pathport/http.h>
#include <pathport/settings.h>

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>

namespace {

using namespace pathport;

constexpr char key_variable[] = "PATHPORT_KEY";

std::string default_key()
{
    const char* key = std::getenv(key_variable);
    return key == nullptr ? "" : key;
}

// Prints the commands after TCLAP's own help.
class HelpOutput : public TCLAP::StdOutput {
public:
    void usage(TCLAP::CmdLineInterface& cmd) override
    {
        TCLAP::StdOutput::usage(cmd);
        std::cout << ctl::command_help();
    }
};

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine cmd("The operators' client of a pathport cell.", ' ', "0.1.0");
        HelpOutput output;
        cmd.setOutput(&output);
        TCLAP::MultiArg<std::string> nodes("n", "node",
                                           "Operators' address of a node; the next "
                                           "one is tried when one can't be reached",
                                           true, "IP:port", cmd);
        TCLAP::ValueArg<std::string> key("k", "key",
                                         "Operators' key (default: $PATHPORT_KEY)", false,
                                         default_key(), "key", cmd);
        TCLAP::ValueArg<std::string> who("u", "user", "Name for the audit trail", false,
                                         "operator", "name", cmd);
        TCLAP::ValueArg<std::string> expect("e", "expect",
                                            "Revision that the row must have; 0: none",
                                            false, "", "revision", cmd);
        TCLAP::SwitchArg json("j", "json", "Print the answer as JSON", cmd);
        TCLAP::UnlabeledMultiArg<std::string> words("command", "Command and its arguments",
                                                    true, "command", cmd);
        cmd.parse(argc, argv);
        start_http_threads(2);
        ctl::Session session;
        session.nodes = nodes.getValue();
        session.key = key.getValue();
        session.who = who.getValue();
        session.expect = expect.getValue();
        session.json = json.getValue();
        return ctl::run(session, words.getValue());
    } catch (const TCLAP::ArgException& error) {
        std::cerr << "pathportctl: " << error.error() << " " << error.argId() << std::endl;
        return ctl::exit_usage;
    }
}
