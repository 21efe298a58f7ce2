import { Builtins, Cli } from "clipanion";
import { RunCommand } from "./commands/runCommand";

["SIGTERM", "SIGINT"].forEach(signal => process.once(signal, () => process.exit(1)));
const cli = new Cli({ binaryLabel: "ibis-proofs", binaryName: "npm run proofs --" });
[Builtins.HelpCommand, RunCommand].forEach(command => cli.register(command));
void cli.runExit(process.argv.slice(2));
