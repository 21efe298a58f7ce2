import { Builtins, Cli } from "clipanion";
import { CapacityCommand } from "./capacityCommand";

["SIGTERM", "SIGINT"].forEach(signal => process.once(signal, () => process.exit(1)));
const cli = new Cli({ binaryLabel: "ibis-capacity", binaryName: "npm run capacity --" });
[Builtins.HelpCommand, CapacityCommand].forEach(command => cli.register(command));
void cli.runExit(process.argv.slice(2));
