import { Builtins, Cli } from "clipanion";
import { CapacityCommand } from "./capacityCommand";

const cli = new Cli({ binaryLabel: "ibis-capacity", binaryName: "npm run capacity --" });
[Builtins.HelpCommand, CapacityCommand].forEach(command => cli.register(command));
void cli.runExit(process.argv.slice(2));
