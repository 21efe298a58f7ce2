import { Builtins, Cli } from "clipanion";
import { EngineCommand } from "./commands/engineCommand";
import { HostListCommand } from "./commands/hostListCommand";
import { KeyValueCommand } from "./commands/keyValueCommand";
import { ServiceCommand } from "./commands/serviceCommand";

const cli = new Cli({ binaryLabel: "ibis-standin", binaryName: "ibis-standin" });
[Builtins.HelpCommand, KeyValueCommand, HostListCommand, EngineCommand, ServiceCommand]
    .forEach(command => cli.register(command));
void cli.runExit(process.argv.slice(2));
