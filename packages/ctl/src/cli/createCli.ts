import { Builtins, Cli } from "clipanion";
import { commandClasses } from "./commandClasses";

/** Creates the command-line parser with all commands registered. */
export const createCli = (): Cli => {
    const cli = new Cli({ binaryLabel: "ibisctl", binaryName: "ibisctl", enableCapture: false });
    [Builtins.HelpCommand, ...commandClasses].forEach(command => cli.register(command));
    return cli;
};
