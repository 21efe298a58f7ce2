import { Builtins, Cli } from "clipanion";
import { CompareCommand } from "./commands/compareCommand";
import { PassThroughCommand } from "./commands/passThroughCommand";
import { ThroughputCommand } from "./commands/throughputCommand";

["SIGINT"].forEach(signal => process.once(signal, () => process.exit(1)));
const cli = new Cli({ binaryLabel: "ibis-bench", binaryName: "ibis-bench" });
[Builtins.HelpCommand, CompareCommand, ThroughputCommand, PassThroughCommand].forEach(command => cli.register(command));
void cli.runExit(process.argv.slice(2));
