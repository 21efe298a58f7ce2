import { Builtins, Cli } from "clipanion";
import { CloudCommand } from "./commands/cloudCommand";
import { EngineCommand } from "./commands/engineCommand";
import { HostListCommand } from "./commands/hostListCommand";
import { KeyValueCommand } from "./commands/keyValueCommand";
import { ServiceCommand } from "./commands/serviceCommand";
import { WeightStoreCommand } from "./commands/weightStoreCommand";

const cli = new Cli({ binaryLabel: "ibis-standin", binaryName: "ibis-standin" });
[
    Builtins.HelpCommand,
    KeyValueCommand,
    HostListCommand,
    CloudCommand,
    WeightStoreCommand,
    EngineCommand,
    ServiceCommand,
].forEach(command => cli.register(command));
void cli.runExit(process.argv.slice(2));
