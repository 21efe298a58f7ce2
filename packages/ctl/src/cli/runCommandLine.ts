import type { BaseContext, Command } from "clipanion";
import { ExitCode } from "../exit/exitCode";
import { createCli } from "./createCli";

/** Runs one command line; returns the exit code. */
export const runCommandLine = async (
    argumentTexts: readonly string[],
    context: Partial<BaseContext> = {},
): Promise<number> => {
    const cli = createCli();
    const stderr = context.stderr ?? process.stderr;
    let command: Command;
    try {
        command = cli.process([...argumentTexts], context);
    }
    catch (error) {
        stderr.write(cli.error(error));
        return ExitCode.Usage;
    }
    return cli.run(command, context);
};
