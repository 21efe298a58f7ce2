import { Builtins, Cli } from "clipanion";
import { StartCommand } from "./commands/startCommand";

const cli = new Cli({ binaryLabel: "ibis-runner", binaryName: "npm start --" });
[Builtins.HelpCommand, StartCommand].forEach(command => cli.register(command));
void cli.runExit(process.argv.slice(2));
