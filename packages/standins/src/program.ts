import { runExit } from "clipanion";
import { EngineCommand } from "./commands/engineCommand";
import { HostListCommand } from "./commands/hostListCommand";
import { KeyValueCommand } from "./commands/keyValueCommand";
import { ServiceCommand } from "./commands/serviceCommand";

void runExit({ binaryLabel: "ibis-standin", binaryName: "ibis-standin" }, [
    KeyValueCommand,
    HostListCommand,
    EngineCommand,
    ServiceCommand,
]);
