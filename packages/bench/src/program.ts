import { Builtins, Cli } from "clipanion";
import { CompareCommand } from "./commands/compareCommand";

const cli = new Cli({ binaryLabel: "ibis-bench", binaryName: "ibis-bench" });
[Builtins.HelpCommand, CompareCommand].forEach(command => cli.register(command));
void cli.runExit(process.argv.slice(2));
